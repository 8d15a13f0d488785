package main

import (
	"bytes"
	"strings"
	"testing"
)

const start = `{"op":"provision","driver":1,"seed":5,"setup":{"classes":[{"name":"a","effect":"free","aimNs":100000000,"giveUpNs":200000000,"worth":1}],"familyInfo":{"readLevel":["any"]},"limits":{"probes":true,"sendCap":2}}}`
const list = `{"op":"list","list":0,"entries":[{"member":"m:1","state":"U","cluster":0}]},{"op":"sync","driver":1,"scope":"stale_copy","gen":1,"list":0}`
const order = `{"op":"order","driver":1,"ticket":"t1","remainingNs":200000000,"qos":0,"cluster":0}`

func batch(items ...string) string {
	return `{"clockNs":1000000000,"items":[` + strings.Join(items, ",") + "]}\n"
}

func TestRunAnswersEachBatch(t *testing.T) {
	var out bytes.Buffer
	in := `{"clockNs":1,"items":[]}` + "\n" + batch(start, list, order) + batch(`{"op":"down","driver":1}`, start, list)
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || lines[0] != `{"do":[]}` || !strings.Contains(lines[1], `"op":"attempt","driver":1,"ticket":"t1"`) ||
		strings.Contains(lines[2], "attempt") {
		t.Errorf("%q", lines)
	}
}

func TestInvalidLinesEndTheRunWithoutAReply(t *testing.T) {
	for bad, want := range map[string]string{
		"{\n":                             "line 2",
		batch(order):                      "no instance 1",
		batch(`{"op":"down","driver":1}`): "no instance 1",
		batch(start, list, `{"op":"order","driver":1,"ticket":"t1","remainingNs":2,"qos":"x","cluster":0}`): "items[3].qos",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(`{"clockNs":1,"items":[]}`+"\n"+bad), &out)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: error %v, want %s", bad, err, want)
		}
		if out.String() != "{\"do\":[]}\n" {
			t.Errorf("%s: replied %q", bad, out.String())
		}
	}
}

func TestInvalidSettingsAreAFault(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(batch(strings.Replace(start, `"free"`, `"novel"`, 1))), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"op":"fault","driver":1`) {
		t.Errorf("%q", out.String())
	}
}
