package controlplane

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// forbidden are imports that state machines must not use: without clocks, sockets, files and goroutines, a test can
// simulate a year in a second, and the same events always give the same actions.
var forbidden = []string{"net", "os", "syscall", "sync", "log", "io/fs", "math/rand", "crypto/rand", "runtime",
	"github.com/sirupsen/logrus", "github.com/lesismal/nbio", "github.com/hashicorp/raft"}

// problem returns why a state machine may not import path, or "".
func problem(path string) string {
	for _, f := range forbidden {
		if path == f || strings.HasPrefix(path, f+"/") {
			return "imports " + path
		}
	}
	if !strings.HasPrefix(path, "aspenshed/") {
		return ""
	}
	name, inside := strings.CutPrefix(path, "aspenshed/internal/controlplane/")
	if !inside {
		return "imports " + path + ", which lies outside the control plane"
	}
	if doesIO(name) {
		return "imports " + path + ", which does I/O"
	}
	return ""
}

// ioPackages are the packages below this one that connect the state machines to disk, network and goroutines. All
// others are state machines.
var ioPackages = []string{"store", "agent", "stream", "subscriber", "commandqueue"}

// doesIO reports whether a path below the control plane lies in one of the I/O packages.
func doesIO(path string) bool {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	return slices.Contains(ioPackages, first)
}

// faults returns the violations in a file.
func faults(f *ast.File) (out []string) {
	for _, im := range f.Imports {
		if p := problem(strings.Trim(im.Path.Value, `"`)); p != "" {
			out = append(out, p)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			out = append(out, "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && (n.Sel.Name == "Now" || n.Sel.Name == "Since" ||
				n.Sel.Name == "Sleep" || n.Sel.Name == "After" || n.Sel.Name == "NewTimer" || n.Sel.Name == "AfterFunc") {
				out = append(out, "uses time."+n.Sel.Name)
			}
		}
		return true
	})
	return out
}

func TestStateMachinesDoNoIO(t *testing.T) {
	seen := 0
	check := func(path string) {
		if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") { // generated code may use sync
			return
		}
		tree, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		seen++
		for _, f := range faults(tree) {
			t.Errorf("%s %s", path, f)
		}
	}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !doesIO(path) {
			check(path)
		}
		return err
	})
	root, globErr := filepath.Glob("../../*.go")
	for _, f := range root {
		if !strings.HasSuffix(f, "_test.go") {
			check(f)
		}
	}
	err = errors.Join(err, globErr)
	if err != nil || seen < 4 {
		t.Errorf("%v: %d files walked", err, seen)
	}
}

// The check above must detect violations.
func TestForbiddenUsesAreFound(t *testing.T) {
	tree, err := parser.ParseFile(token.NewFileSet(), "x.go", `package x
import ("net/http"; "time"; "aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"; "sync/atomic"; "strings")
func f() { go f(); _ = time.Now() }`, 0)
	if got := faults(tree); err != nil || len(got) != 6 {
		t.Errorf("%v: %q", err, got)
	}
}
