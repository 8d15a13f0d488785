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
	file      = "KNOWN-RED.txt"
	mostKnown = 3
)

func main() {
	known, err := read(file)
	if err == nil {
		err = run(known, os.Args[1:])
	}
	if err != nil {
		fmt.Println("FAIL:", err)
		os.Exit(1)
	}
}

// red is a line of the file.
type red struct{ pkg, test, cause, issue string }

func read(path string) ([]red, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	return parse(string(b))
}

func parse(text string) (out []red, err error) {
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, ";")
		names := strings.Fields(parts[0])
		if len(parts) != 3 || len(names) != 2 || strings.Contains(names[1], "/") {
			return nil, fmt.Errorf("%s:%d: not of the form 'package test; cause; issue'", file, i+1)
		}
		r := red{names[0], names[1], strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])}
		if r.cause == "" || r.issue == "" {
			return nil, fmt.Errorf("%s:%d: cause or issue is missing", file, i+1)
		}
		out = append(out, r)
	}
	if len(out) > mostKnown {
		return nil, fmt.Errorf("%s: %d lines, %d are the most", file, len(out), mostKnown)
	}
	return out, nil
}

func run(known []red, args []string) error {
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
	t := tally{module: strings.TrimSpace(string(module)), out: os.Stdout, tests: map[string]map[string]string{}, said: map[string]string{}}
	err = t.read(out)
	return errors.Join(err, t.judge(known, cmd.Wait() != nil))
}

// event is what go test -json says.
type event struct{ Action, Package, Test, Output string }

// tally is what came of a run.
type tally struct {
	module string
	out    io.Writer
	tests  map[string]map[string]string // by package and test: the last action
	said   map[string]string            // by a running test of a package: its output
	faults []string
}

func (t *tally) read(r io.Reader) error {
	in := bufio.NewReader(r)
	for {
		line, err := in.ReadString('\n')
		if line != "" {
			var e event
			if json.Unmarshal([]byte(line), &e) == nil {
				t.take(e)
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

func (t *tally) take(e event) {
	pkg := strings.TrimPrefix(strings.TrimPrefix(e.Package, t.module), "/")
	if pkg == "" {
		pkg = "."
	}
	top, _, _ := strings.Cut(e.Test, "/")
	if t.tests[pkg] == nil {
		t.tests[pkg] = map[string]string{}
	}
	switch {
	case e.Action == "output" && e.Test != "":
		t.said[pkg+" "+top] += e.Output
		if strings.HasPrefix(e.Output, "panic: ") { // the tests behind it have not run
			t.faults = append(t.faults, pkg+" "+top+" panicked")
		}
	case e.Output != "":
		fmt.Fprint(t.out, e.Output)
	case top == "":
		t.tests[pkg][""] = e.Action
	case e.Test != top:
	case e.Action == "run", e.Action == "pass", e.Action == "skip", e.Action == "fail":
		if t.tests[pkg][top] != "fail" { // with -count a test may run again
			t.tests[pkg][top] = e.Action
		}
		if e.Action == "fail" {
			fmt.Fprint(t.out, t.said[pkg+" "+top])
		}
		if e.Action != "run" {
			delete(t.said, pkg+" "+top)
		}
	}
}

// judge says what came of the known ones, and returns what else has failed. failed: go test did.
func (t *tally) judge(known []red, failed bool) error {
	excused := 0
	listed := map[string]bool{}
	for _, k := range known {
		listed[k.pkg+" "+k.test] = true
		switch t.tests[k.pkg][k.test] {
		case "fail":
			excused++
			fmt.Fprintf(t.out, "known red: %s %s failed (%s; %s)\n", k.pkg, k.test, k.cause, k.issue)
		case "pass":
			fmt.Fprintf(t.out, "known red: %s %s passed: its line can go (%s; %s)\n", k.pkg, k.test, k.cause, k.issue)
		case "skip":
			t.faults = append(t.faults, k.pkg+" "+k.test+" was skipped")
		default:
			t.faults = append(t.faults, fmt.Sprintf("%s names %s %s, which is not there", file, k.pkg, k.test))
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(t.tests)) {
		reds := 0
		for _, test := range slices.Sorted(maps.Keys(t.tests[pkg])) {
			switch is := t.tests[pkg][test]; {
			case test == "":
			case is == "run":
				t.faults = append(t.faults, pkg+" "+test+" never ended")
			case is == "fail" && listed[pkg+" "+test]:
				reds++
			case is == "fail":
				t.faults = append(t.faults, pkg+" "+test+" failed")
			}
		}
		if t.tests[pkg][""] == "fail" && reds == 0 {
			t.faults = append(t.faults, pkg+" failed")
		}
	}
	if failed && excused == 0 && len(t.faults) == 0 {
		t.faults = append(t.faults, "go test failed")
	}
	if len(t.faults) > 0 {
		return errors.New(strings.Join(t.faults, "; "))
	}
	return nil
}
