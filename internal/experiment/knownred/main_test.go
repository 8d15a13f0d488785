package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func TestParseListRejectsMalformedLists(t *testing.T) {
	line := "internal/x TestA; cause; issue 1\n"
	for text, want := range map[string]string{
		"":                              "",
		"# none\n\n":                    "",
		line + line + line:              "",
		line + line + line + line:       "4 lines",
		"internal/x TestA; cause\n":     "KNOWN-RED.txt:1",
		"TestA; cause; issue 1\n":       "KNOWN-RED.txt:1",
		line + "x TestA/sub; c; i\n":    "KNOWN-RED.txt:2",
		"internal/x TestA;  ; issue 1":  "cause or issue",
		"internal/x TestA; cause; \n\n": "cause or issue",
	} {
		_, err := parseList(text)
		if got := fmt.Sprint(err); want == "" && err != nil || !strings.Contains(got, want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// Guards the test command: it passes over the known failures and no others, whatever hides behind them.
func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	known := []knownFailure{{"x", "TestRed", "cause", "issue 1"}}
	for name, c := range map[string]struct {
		events string // action package test, or a panic's
		failed bool
		fault  string // "": none
		says   string
	}{
		"all pass":              {"run x TestRed, pass x TestRed, pass x", false, "", "TestRed passed: its line can go"},
		"the known fails":       {"run x TestRed, fail x TestRed, fail x", true, "", "TestRed failed (cause; issue 1)"},
		"its subtest fails":     {"run x TestRed, run x TestRed/a, fail x TestRed/a, fail x TestRed, fail x", true, "", "TestRed failed"},
		"another fails too":     {"run x TestRed, fail x TestRed, run x TestB, fail x TestB, fail x", true, "x TestB failed", ""},
		"its namesake fails":    {"run x TestRed, fail x TestRed, fail x, run y TestRed, fail y TestRed, fail y", true, "y TestRed failed", ""},
		"it is not there":       {"run x TestB, pass x TestB, pass x", false, "names x TestRed", ""},
		"it is skipped":         {"run x TestRed, skip x TestRed, pass x", false, "skipped", ""},
		"it panics":             {"run x TestRed, panic x TestRed, fail x TestRed, fail x", true, "panicked", ""},
		"another never ends":    {"run x TestRed, fail x TestRed, run x TestB, fail x", true, "x TestB never ended", ""},
		"a package is broken":   {"run x TestRed, pass x TestRed, pass x, fail y", true, "y failed", ""},
		"nothing tells why":     {"run x TestRed, pass x TestRed, pass x", true, "go test failed", ""},
		"it fails one time":     {"run x TestRed, fail x TestRed, run x TestRed, pass x TestRed, fail x", true, "", "TestRed failed"},
		"a test before it ends": {"run x TestB, run x TestRed, fail x TestRed, pass x TestB, fail x", true, "", "TestRed failed"},
	} {
		var in, out bytes.Buffer
		for _, e := range strings.Split(c.events, ", ") {
			f := append(strings.Fields(e), "")
			x := testEvent{Action: f[0], Package: "m/" + f[1], Test: f[2]}
			if x.Action == "panic" {
				x.Action, x.Output = "output", "panic: boom\n"
			}
			b, _ := json.Marshal(x)
			in.Write(append(b, '\n'))
		}
		y := testResults{module: "m", out: &out, lastActions: map[string]map[string]string{}, output: map[string]string{}}
		_ = y.readEvents(&in)
		err := y.evaluate(known, c.failed)
		if got := fmt.Sprint(err); c.fault == "" && err != nil || c.fault != "" && !strings.Contains(got, c.fault) || !strings.Contains(out.String(), c.says) {
			t.Errorf("%s: %v, said %q", name, err, out.String())
		}
	}
}
