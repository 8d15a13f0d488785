package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockReading matches what reads the wall clock: differences of time.Now alone follow the monotonic clock.
var wallClockReading = regexp.MustCompile(`time\.Now\(\)\.(Unix|Format|String|Round|Truncate|UTC|Local|In\()`)

// Guards deadlines, windows and positions against steps of the wall clock, which the loop's clock alone may read.
func TestOnlyTheLoopReadsTheWallClock(t *testing.T) {
	for _, root := range []string{"../../internal", "."} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && entry.Name() == "experiment":
				return filepath.SkipDir
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			content, err := os.ReadFile(path)
			if found := wallClockReading.Find(content); found != nil {
				t.Errorf("%s: %s", path, found)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
