package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a statically linked program, which would ignore the platform's preloaded library, and against a make
// build that differs from the deployed build.
func TestDeployedProgramIsBuiltAsByMakeAndLinkedDynamically(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(deploy)
	if found == nil {
		t.Fatal("deploy/balancer.toml names no build")
	}
	build := string(found[1])
	makefile, err := os.ReadFile("../../Makefile")
	if err != nil || !strings.Contains(string(makefile), "\nbuild:\n\t"+build+"\n") {
		t.Errorf("the Makefile does not build by %q (%v)", build, err)
	}
	if !regexp.MustCompile(`(?m)^run = "exec bin/aspenshed"$`).Match(deploy) {
		t.Error("run does not exec the gateway")
	}
	out := filepath.Join(t.TempDir(), "aspenshed")
	build = strings.NewReplacer("mkdir -p bin && ", "", "-o bin/ ./cmd/...", "-o "+out+" ./cmd/aspenshed").Replace(build)
	cmd := exec.Command("sh", "-c", build)
	cmd.Dir = "../.."
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	f, err := elf.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("linked against %v (%v), not the C library", libs, err)
	}
}
