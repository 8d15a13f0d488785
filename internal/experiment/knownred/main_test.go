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

// Guards the test command against hiding a failure: it tolerates the listed failures only, also where another test, a
// package of the same test name, a panic or a build error fails beside them.
func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	known := []knownFailure{{"x", "TestRed", "cause", "issue 1"}}
	for name, c := range map[string]struct {
		events     string // action, package and test of each event; "panic" is an output event
		testFailed bool
		want       string // substring of the error; empty: no error
		output     string // substring of the output
	}{
		"all tests pass":                                {"run x TestRed, pass x TestRed, pass x", false, "", "TestRed passed: its line can be removed"},
		"known failure fails":                           {"run x TestRed, fail x TestRed, fail x", true, "", "TestRed failed (cause; issue 1)"},
		"subtest of known failure fails":                {"run x TestRed, run x TestRed/a, fail x TestRed/a, fail x TestRed, fail x", true, "", "TestRed failed"},
		"another test fails too":                        {"run x TestRed, fail x TestRed, run x TestB, fail x TestB, fail x", true, "x TestB failed", ""},
		"same test name fails in another package":       {"run x TestRed, fail x TestRed, fail x, run y TestRed, fail y TestRed, fail y", true, "y TestRed failed", ""},
		"known failure has no result":                   {"run x TestB, pass x TestB, pass x", false, "names x TestRed", ""},
		"known failure is skipped":                      {"run x TestRed, skip x TestRed, pass x", false, "skipped", ""},
		"known failure panics":                          {"run x TestRed, panic x TestRed, fail x TestRed, fail x", true, "panicked", ""},
		"another test does not finish":                  {"run x TestRed, fail x TestRed, run x TestB, fail x", true, "x TestB did not finish", ""},
		"another package fails to build":                {"run x TestRed, pass x TestRed, pass x, fail y", true, "y failed", ""},
		"go test fails without a failed test":           {"run x TestRed, pass x TestRed, pass x", true, "go test failed", ""},
		"known failure fails in one of two runs":        {"run x TestRed, fail x TestRed, run x TestRed, pass x TestRed, fail x", true, "", "TestRed failed"},
		"earlier test finishes after the known failure": {"run x TestB, run x TestRed, fail x TestRed, pass x TestB, fail x", true, "", "TestRed failed"},
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
		err := y.evaluate(known, c.testFailed)
		if got := fmt.Sprint(err); c.want == "" && err != nil || c.want != "" && !strings.Contains(got, c.want) || !strings.Contains(out.String(), c.output) {
			t.Errorf("%s: %v, output %q", name, err, out.String())
		}
	}
}
