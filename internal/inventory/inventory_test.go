package inventory

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

const sample = `id,address,site,group,kind,state
db-1,10.0.0.1:3306,hobart,0,std-4core,in_service
"db ""two"", spare",[::1]:3306,launceston,1,no: yes # kind,terminating
0123,db.example:3306,true,12,null,terminated
~,10.0.0.4:1,1e3,3,0x10,in_service
`

func TestCSVToYAMLToCSVIsLossless(t *testing.T) {
	ms, err := Parse("a.csv", []byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	y, err := Format("a.yaml", ms)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("a.yaml", y)
	if err != nil {
		t.Fatalf("%v in\n%s", err, y)
	}
	back, err := Format("b.csv", again)
	if err != nil || string(back) != sample {
		t.Errorf("%v: got\n%s\nvia\n%s", err, back, y)
	}
}

func TestErrorsNameLineAndField(t *testing.T) {
	const head = "id,address,site,group,kind,state\n"
	for _, c := range []struct{ name, text, want string }{
		{"a.csv", "", "line 1: missing header"},
		{"a.csv", "id,colour\n", "line 1: field colour: unknown or a duplicate"},
		{"a.csv", head + "a,h:1,s,0,k,in_service\nb,h,s,0,k,in_service\n", `line 3: field address: "h" is not host:port`},
		{"a.csv", head + "a,h:70000,s,0,k,in_service\n", `line 2: field address: "h:70000" is not host:port`},
		{"a.csv", head + "a,h:1,s,01,k,in_service\n", `line 2: field group: "01" is not a non-negative integer`},
		{"a.csv", head + "a,h:1,s,0,k,up\n", `line 2: field state: "up" is not one of in_service, terminating, terminated`},
		{"a.csv", head + "a,h:1,,0,k,in_service\n", "line 2: field site: missing"},
		{"a.csv", head + "a,h:1,s,0,k,in_service\n\na,h:1,s,0,k,in_service\n", `line 4: field id: "a" is already on line 2`},
		{"a.csv", head + "a,h:1,s,0,k\n", "line 2: wrong number of fields"},
		{"a.csv", head + "\"a\nb\",h:1,s,0,k,in_service\n", `line 2: field id: "a\nb" contains control characters, or leading or trailing space`},
		{"a.yaml", "members:\n  - id: a\n    colour: red\n", "line 3: field colour: unknown or a duplicate"},
		{"a.yaml", "members:\n  - id: a\n    group: [1]\n", "line 3: field group: not a scalar value"},
		{"a.yaml", "servers: []\n", "line 1: field members: must be the only key, with a list as its value"},
		{"a.yaml", "members:\n  - id: a\n    address: h:1\n    site: s\n", "line 2: field group: missing"},
		{"a.txt", "", "the name must end in .csv, .yaml or .yml"},
	} {
		if ms, err := Parse(c.name, []byte(c.text)); err == nil || err.Error() != c.want || ms != nil {
			t.Errorf("%s %q: %v, want %s", c.name, c.text, err, c.want)
		}
	}
}

func TestWriteIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "inventory.csv")
	ms, _ := Parse("a.csv", []byte(sample))
	if err := Write(path, ms); err != nil {
		t.Fatal(err)
	}
	if err := Write(path+".txt", nil); err == nil {
		t.Error("a file of unknown format was written")
	}
	got, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, []byte(sample)) {
		t.Errorf("%v: %s", err, got)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".inv*")); len(left) > 0 {
		t.Errorf("temporary files remain: %v", left)
	}
}
