// Command knownred runs go test with the arguments it is given and passes over the failures that KNOWN-RED.txt names, and
// over no other: tests that fail for a real fault which has an issue, and is not mended yet. They run like all others.
//
//	internal/netio TestX; what is at fault; issue 25
//
// It also fails on a line that it can't read, on a test that is not there and on more than three lines.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const (
	listFile   = "KNOWN-RED.txt"
	maxEntries = 3
)

func main() {
	known, err := readList(listFile)
	if err == nil {
		err = run(known, os.Args[1:])
	}
	if err != nil {
		fmt.Println("FAIL:", err)
		os.Exit(1)
	}
}

// knownFailure is a line of the file.
type knownFailure struct{ pkg, test, cause, issue string }

func readList(path string) ([]knownFailure, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	return parseList(string(b))
}

func parseList(text string) (out []knownFailure, err error) {
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, ";")
		names := strings.Fields(parts[0])
		if len(parts) != 3 || len(names) != 2 || strings.Contains(names[1], "/") {
			return nil, fmt.Errorf("%s:%d: not of the form 'package test; cause; issue'", listFile, i+1)
		}
		r := knownFailure{names[0], names[1], strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])}
		if r.cause == "" || r.issue == "" {
			return nil, fmt.Errorf("%s:%d: cause or issue is missing", listFile, i+1)
		}
		out = append(out, r)
	}
	if len(out) > maxEntries {
		return nil, fmt.Errorf("%s: %d lines, %d are the most", listFile, len(out), maxEntries)
	}
	return out, nil
}

func run(known []knownFailure, args []string) error {
	module, err := exec.Command("go", "list", "-m").Output()
	if err != nil {
		return fmt.Errorf("go list -m: %w", err)
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	t := testResults{module: strings.TrimSpace(string(module)), out: os.Stdout, lastActions: map[string]map[string]string{}, output: map[string]string{}}
	err = t.readEvents(out)
	return errors.Join(err, t.evaluate(known, cmd.Wait() != nil))
}

// testEvent is what go test -json says.
type testEvent struct{ Action, Package, Test, Output string }

// testResults is what came of a run.
type testResults struct {
	module      string
	out         io.Writer
	lastActions map[string]map[string]string // by package and test: the last action
	output      map[string]string            // by a running test of a package: its output
	failures    []string
}

func (t *testResults) readEvents(r io.Reader) error {
	in := bufio.NewReader(r)
	for {
		line, err := in.ReadString('\n')
		if line != "" {
			var e testEvent
			if json.Unmarshal([]byte(line), &e) == nil {
				t.addEvent(e)
			} else {
				fmt.Fprint(t.out, line)
			}
		}
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func (t *testResults) addEvent(e testEvent) {
	pkg := strings.TrimPrefix(strings.TrimPrefix(e.Package, t.module), "/")
	if pkg == "" {
		pkg = "."
	}
	top, _, _ := strings.Cut(e.Test, "/")
	if t.lastActions[pkg] == nil {
		t.lastActions[pkg] = map[string]string{}
	}
	switch {
	case e.Action == "output" && e.Test != "":
		t.output[pkg+" "+top] += e.Output
		if strings.HasPrefix(e.Output, "panic: ") { // the tests behind it have not run
			t.failures = append(t.failures, pkg+" "+top+" panicked")
		}
	case e.Output != "":
		fmt.Fprint(t.out, e.Output)
	case top == "":
		t.lastActions[pkg][""] = e.Action
	case e.Test != top:
	case e.Action == "run", e.Action == "pass", e.Action == "skip", e.Action == "fail":
		if t.lastActions[pkg][top] != "fail" { // with -count a test may run again
			t.lastActions[pkg][top] = e.Action
		}
		if e.Action == "fail" {
			fmt.Fprint(t.out, t.output[pkg+" "+top])
		}
		if e.Action != "run" {
			delete(t.output, pkg+" "+top)
		}
	}
}

// evaluate says what came of the known ones, and returns what else has failed. failed: go test did.
func (t *testResults) evaluate(known []knownFailure, failed bool) error {
	excused := 0
	listed := map[string]bool{}
	for _, k := range known {
		listed[k.pkg+" "+k.test] = true
		switch t.lastActions[k.pkg][k.test] {
		case "fail":
			excused++
			fmt.Fprintf(t.out, "known red: %s %s failed (%s; %s)\n", k.pkg, k.test, k.cause, k.issue)
		case "pass":
			fmt.Fprintf(t.out, "known red: %s %s passed: its line can go (%s; %s)\n", k.pkg, k.test, k.cause, k.issue)
		case "skip":
			t.failures = append(t.failures, k.pkg+" "+k.test+" was skipped")
		default:
			t.failures = append(t.failures, fmt.Sprintf("%s names %s %s, which is not there", listFile, k.pkg, k.test))
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(t.lastActions)) {
		reds := 0
		for _, test := range slices.Sorted(maps.Keys(t.lastActions[pkg])) {
			switch is := t.lastActions[pkg][test]; {
			case test == "":
			case is == "run":
				t.failures = append(t.failures, pkg+" "+test+" never ended")
			case is == "fail" && listed[pkg+" "+test]:
				reds++
			case is == "fail":
				t.failures = append(t.failures, pkg+" "+test+" failed")
			}
		}
		if t.lastActions[pkg][""] == "fail" && reds == 0 {
			t.failures = append(t.failures, pkg+" failed")
		}
	}
	if failed && excused == 0 && len(t.failures) == 0 {
		t.failures = append(t.failures, "go test failed")
	}
	if len(t.failures) > 0 {
		return errors.New(strings.Join(t.failures, "; "))
	}
	return nil
}
