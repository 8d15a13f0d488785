package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenshed/internal/experiment/standin"
)

// Covers the demonstration and its administration: a sample query is served, a drain reaches all instances, a snapshot
// is saved, and errors are clear and change nothing. Only the daemon's own user may open the socket.
func TestDemonstrationAndAdministration(t *testing.T) {
	d, err := NewDemo(t.TempDir(), DemoOptions{Instances: 3, Limits: standin.DefaultLimits()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	row, err := QueryUntilServed(d.Instances[2].Front(WirePostgres).Net.Addr(), "s", eventuallyTimeout)
	if err != nil || !strings.HasPrefix(row, "s-") {
		t.Fatalf("the sample: %q %v", row, err)
	}
	socket := d.Deploys[0].Admin.Socket
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v %v", info, err)
	}
	call := func(q AdminRequest) (string, error) {
		b, err := CallAdmin(socket, q)
		return string(b), err
	}
	eventually(t, "members", func() bool {
		got, err := call(AdminRequest{Command: "members"})
		return err == nil && strings.Count(got, `"in_service"`) == 6
	})
	eventually(t, "the agreed configuration", func() bool { return d.Instances[1].Store.Status().Config == 1 })
	if got, err := call(AdminRequest{Command: "put", Key: "k", Value: "v"}); err != nil || !strings.Contains(got, `"version":1`) {
		t.Errorf("put: %s %v", got, err)
	}
	if got, err := call(AdminRequest{Command: "get", Key: "k", Latest: true}); err != nil || !strings.Contains(got, `"value":"v"`) {
		t.Errorf("get: %s %v", got, err)
	}
	if got, err := call(AdminRequest{Command: "rollout"}); err != nil || !strings.Contains(got, `"answered":["a","b","c"],"silent":[]`) {
		t.Errorf("rollout: %s %v", got, err)
	}
	path := filepath.Join(t.TempDir(), "saved")
	for _, c := range []struct {
		q    AdminRequest
		want string // of the error; empty: none
	}{
		{AdminRequest{Command: "put", Key: "k", Value: "w", Base: 7, CheckBase: true}, "version 1, not 7"}, {AdminRequest{Command: "get", Key: "zz"}, `no key "zz"`},
		{AdminRequest{Command: "drain", Key: "zz"}, "no member"}, {AdminRequest{Command: "dance"}, "unknown request"},
		{AdminRequest{Command: "save", Key: "here"}, "must be absolute"},
		{AdminRequest{Command: "save", Key: path}, ""}, {AdminRequest{Command: "drain", Key: "po-b"}, ""},
	} {
		if got, err := call(c.q); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %s %v", c.q, got, err)
		}
	}
	for _, x := range d.Deploys {
		eventually(t, "the drain at all instances", func() bool {
			b, err := CallAdmin(x.Admin.Socket, AdminRequest{Command: "members"})
			var ms []Member
			return err == nil && json.Unmarshal(b, &ms) == nil && len(ms) == 6 && ms[4].ID == "po-b" && ms[4].State == "draining"
		})
	}
	if _, err := CallAdmin(filepath.Join(t.TempDir(), "none"), AdminRequest{Command: "status"}); err == nil || !strings.Contains(err.Error(), "no daemon is listening") {
		t.Errorf("no daemon: %v", err)
	}
}
