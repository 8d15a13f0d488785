package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The on-call page names every line that the program may log.
func TestOnCallPageNamesEveryLogLine(t *testing.T) {
	page, err := os.ReadFile("../../docs/ONCALL.md")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([^"]+)"\)`)
	found := 0
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range line.FindAllStringSubmatch(string(text), -1) {
			if found++; !strings.Contains(string(page), "`"+m[1]+"`") {
				t.Errorf("%s logs %q, which the page does not name", path, m[1])
			}
		}
		return err
	})
	if err != nil || found < 20 {
		t.Errorf("%v: %d lines found", err, found)
	}
}
