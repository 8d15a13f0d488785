// Command knownred runs go test with the given arguments and tolerates only the failures listed in KNOWN-RED.txt: tests
// that fail because of a real fault that has an open issue and is not fixed yet. Listed tests run like all others.
//
//	internal/netio TestX; what is at fault; issue 25
//
// The command also fails on a malformed line, on a listed test that has no result and on more than three lines.
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

// knownFailure is one entry of the list.
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
			return nil, fmt.Errorf("%s:%d: want 'package test; cause; issue'", listFile, i+1)
		}
		r := knownFailure{names[0], names[1], strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])}
		if r.cause == "" || r.issue == "" {
			return nil, fmt.Errorf("%s:%d: cause or issue is missing", listFile, i+1)
		}
		out = append(out, r)
	}
	if len(out) > maxEntries {
		return nil, fmt.Errorf("%s: %d lines, at most %d are allowed", listFile, len(out), maxEntries)
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

// testEvent is an event of go test -json.
type testEvent struct{ Action, Package, Test, Output string }

// testResults collects the results of a test run.
type testResults struct {
	module      string
	out         io.Writer
	lastActions map[string]map[string]string // last action by package and test
	output      map[string]string            // output of running tests, by package and test
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
		if strings.HasPrefix(e.Output, "panic: ") { // a panic keeps the package's remaining tests from running
			t.failures = append(t.failures, pkg+" "+top+" panicked")
		}
	case e.Output != "":
		fmt.Fprint(t.out, e.Output)
	case top == "":
		t.lastActions[pkg][""] = e.Action
	case e.Test != top:
	case e.Action == "run", e.Action == "pass", e.Action == "skip", e.Action == "fail":
		if t.lastActions[pkg][top] != "fail" { // with -count a test may run more than once
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

// evaluate reports the results of the known failures and returns an error for every other failure. testFailed tells
// whether go test itself failed.
func (t *testResults) evaluate(known []knownFailure, testFailed bool) error {
	tolerated := 0
	listed := map[string]bool{}
	for _, k := range known {
		listed[k.pkg+" "+k.test] = true
		switch t.lastActions[k.pkg][k.test] {
		case "fail":
			tolerated++
			fmt.Fprintf(t.out, "known failure: %s %s failed (%s; %s)\n", k.pkg, k.test, k.cause, k.issue)
		case "pass":
			fmt.Fprintf(t.out, "known failure: %s %s passed: its line can be removed (%s; %s)\n", k.pkg, k.test, k.cause, k.issue)
		case "skip":
			t.failures = append(t.failures, k.pkg+" "+k.test+" was skipped")
		default:
			t.failures = append(t.failures, fmt.Sprintf("%s names %s %s, which has no result", listFile, k.pkg, k.test))
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(t.lastActions)) {
		knownFailures := 0
		for _, test := range slices.Sorted(maps.Keys(t.lastActions[pkg])) {
			switch action := t.lastActions[pkg][test]; {
			case test == "":
			case action == "run":
				t.failures = append(t.failures, pkg+" "+test+" did not finish")
			case action == "fail" && listed[pkg+" "+test]:
				knownFailures++
			case action == "fail":
				t.failures = append(t.failures, pkg+" "+test+" failed")
			}
		}
		if t.lastActions[pkg][""] == "fail" && knownFailures == 0 {
			t.failures = append(t.failures, pkg+" failed")
		}
	}
	if testFailed && tolerated == 0 && len(t.failures) == 0 {
		t.failures = append(t.failures, "go test failed")
	}
	if len(t.failures) > 0 {
		return errors.New(strings.Join(t.failures, "; "))
	}
	return nil
}
