package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The operators' pages name every log line of the program.
func TestOnCallPageNamesEveryLogLine(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operate/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatal(err, pages)
	}
	var page []byte
	for _, p := range append(pages, "../../docs/ONCALL.md") {
		text, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		page = append(page, text...)
	}
	line := regexp.MustCompile(`(?:\.(?:Debug|Info|Warn|Error)\(|\bmessage[A-Z]\w* *= )"([^"]+)"`)
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
