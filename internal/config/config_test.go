package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenshed"
)

const node = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"generation":41,"reset":true,"instances":[]},"settings":{"failureDomains":["a","b"],"limits":{"mostHeld":7},
"familyInfo":{"readLevel":["any"],"lagAllowedNs":[0]},"classes":[{"name":"x","effect":"free","aimNs":1,"giveUpNs":2,"worth":1}]}}`

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readNode(t *testing.T, text string, env map[string]string) (*Node, error) {
	path := write(t, "config.json", text)
	return ReadNode(func(k string) string {
		if k == "NODE_CONFIG" {
			return path
		}
		return env[k]
	})
}

func TestNode(t *testing.T) {
	n, err := readNode(t, node, map[string]string{"NODE_LISTEN": "127.0.0.9:9"})
	if err != nil {
		t.Fatal(err)
	}
	if n.Listen != "127.0.0.9:9" || n.Zones[1] != "b" || n.MaxPending != 7 || n.SeedNumber() != 0x8c1f || n.Settings.Classes[0].Consistency != aspenshed.Eventual {
		t.Errorf("%+v", n)
	}
	for want, change := range map[string][2]string{
		"field listen: missing":                                   {`"listen":"127.0.0.1:1",`, ``},
		"field settings: missing":                                 {`"settings"`, `"unsettled"`},
		"field limits.sockets: must be at least 64":               {`1024`, `8`},
		"field limits.memory_mb: wrong type":                      {`192`, `"much"`},
		"field settings.classes.aimNs: wrong type":                {`"aimNs":1`, `"aimNs":"soon"`},
		"field known.instances[0]: json: cannot unmarshal number": {`[]}`, `[{"hostPort":1}]}`},
	} {
		if _, err := readNode(t, strings.Replace(node, change[0], change[1], 1), nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Guards the start, and SIGHUP, against a member with a lifecycle value of a newer release: it counts as draining.
func TestAnUnknownLifecycleDoesNotPreventTheStart(t *testing.T) {
	text := strings.Replace(node, `[]}`, `[{"instanceId":"a","hostPort":"h:1","lifecycle":"resting"}]}`, 1)
	if _, err := readNode(t, text, nil); err != nil {
		t.Error(err)
	}
	text = strings.Replace(text, `"lifecycle"`, `"lifecycles"`, 1)
	if _, err := readNode(t, text, nil); err == nil || !strings.Contains(err.Error(), "field known.instances[0].lifecycle missing") {
		t.Errorf("a missing lifecycle: %v", err)
	}
}

// The file in the repository is valid: the front end is off, and the store is in memory.
func TestDeliveredDeployFile(t *testing.T) {
	d, err := ReadDeploy("../../deploy/aspenshed.yaml")
	if err != nil || d.MySQL.Listen != "" || d.Store.Address != "" {
		t.Fatalf("%v: %+v", err, d)
	}
	if d, err := ReadDeploy("no such file"); err != nil || d.MySQL.Listen != "" {
		t.Errorf("a missing file: %v", err)
	}
}

func TestDeployWithTheFrontEndOn(t *testing.T) {
	data, err := os.ReadFile("../../deploy/aspenshed.yaml")
	if err != nil {
		t.Fatal(err)
	}
	read := func(from, to string) (*Deploy, error) {
		path := write(t, "aspenshed.yaml", strings.Replace(strings.Replace(string(data), `listen: ""`, "listen: 127.0.0.1:0", 1), from, to, 1))
		if err := os.WriteFile(filepath.Join(filepath.Dir(path), "accounts.yaml"), []byte("web: pass\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadDeploy(path)
	}
	d, err := read("", "")
	if err != nil || d.MySQL.AccountPasswords["web"] != "pass" {
		t.Fatalf("%v: %+v", err, d)
	}
	// Without positions bounded reads go to the primary alone.
	if c := d.MySQL.Settings.Classes[0]; c.Name != "point-read" || c.Consistency != aspenshed.Linearizable {
		t.Errorf("bounded class without a position: %+v", c)
	}
	if d.MySQL.Settings.ResponsesHaveRole {
		t.Error("the MySQL front is taken for one whose responses tell roles")
	}
	for want, change := range map[string][2]string{
		"field mysql.classes[2].effect":        {"late_worth: 0.5, effect: unsafe", "effect: safe"},
		"field mysql.classes[1].read":          {"read: any", "read: some"},
		"field mysql.defaults.read_class":      {"read_class: report", "read_class: point-read"},
		"field mysql.defaults.write_class":     {"write_class: order", "write_class: report"},
		"field mysql.probe.role":               {"SELECT @@global.read_only", ""},
		"field mysql.accounts":                 {"accounts.yaml", "nowhere.yaml"},
		"field mysql.clients":                  {"clients: 300", "clients: 0"},
		"field colour not found":               {"database: app", "colour: red"},
		"field store.data_dir: missing":        {`address: ""`, "address: 127.0.0.1:1"},
		"cannot unmarshal !!str `soon`":        {"wait: 2s", "wait: soon"},
		"give_up: aim must be positive":        {"aim: 400ms", "aim: 4s"},
		"field mysql.server.password_file":     {`password_file: ""`, "password_file: nowhere"},
		"field mysql.classes[1].name: missing": {"name: report", "name: point-read"},
	} {
		if _, err := read(change[0], change[1]); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s -> %s: %v, want %s", change[0], change[1], err, want)
		}
	}
}

// All faults are reported at once, with line and field; a field that could not be decoded is not reported again as
// missing.
func TestAllFaultsAtOnce(t *testing.T) {
	text := `mysql:
  listen: nowhere
  clients: many
  colour: red
  classes:
    - {name: a, read: any, aim: 1s, give_up: 2s, effect: safe}
    - {name: a, read: some, aim: 1s, give_up: 2s, effect: safe}
store:
  address: 127.0.0.1:1
  peers:
    - {id: a, address: 127.0.0.1:1}
`
	_, err := ParseDeploy("x.yaml", []byte(text))
	got := map[string]int{}
	for _, f := range Faults(err) {
		if f.File != "x.yaml" {
			t.Errorf("%+v", f)
		}
		got[f.Field] = f.Line
	}
	for field, line := range map[string]int{"mysql.listen": 2, "mysql.classes[1].name": 7, "mysql.classes[1].read": 7, "mysql.accounts": 1,
		"store.data_dir": 8, "store.peers[0]": 11, "": 4} {
		if got[field] != line {
			t.Errorf("%q on line %d, want %d: %v", field, got[field], line, err)
		}
	}
	if _, again := got["mysql.clients"]; again {
		t.Error("a field that could not be decoded is also reported as missing")
	}
}
