package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenshed/internal/controlplane/catalog"
	"aspenshed/internal/experiment/loopback"
	"aspenshed/internal/experiment/standin"
)

// lateInstance is an installation of three instances, of which the third has not started yet: the cluster has not begun.
type lateInstance struct {
	*Demo
	t    *testing.T
	text string // of the third one's deploy file
}

func newLateInstance(t *testing.T) *lateInstance {
	t.Helper()
	const started = 2
	var addresses [2]string
	for i := range addresses {
		var err error
		if addresses[i], err = loopback.HoldAddress(); err != nil {
			t.Fatal(err)
		}
	}
	x := &lateInstance{t: t}
	third := instanceName(started)
	peer := fmt.Sprintf("{id: %s, address: %s, service: %s}", third, addresses[0], addresses[1])
	edit := func(text string) string {
		text = strings.Replace(text, "peers: [", "peers: ["+peer+", ", 1)
		x.text = text
		return text
	}
	var err error
	if x.Demo, err = NewDemo(t.TempDir(), DemoOptions{Instances: started, Limits: standin.DefaultLimits(), EditConfig: edit}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := x.Stop(); err != nil {
			t.Error(err)
		}
	})
	own := x.Deploys[started-1].Store.Config
	x.text = strings.NewReplacer("id: "+own.ID+"\n", "id: "+third+"\n", "  address: "+own.Address+"\n", "  address: "+addresses[0]+"\n",
		"  service: "+own.Service+"\n", "  service: "+addresses[1]+"\n").Replace(x.text)
	return x
}

// startThird starts the third instance, which has no front.
func (x *lateInstance) startThird() {
	x.t.Helper()
	const third = 2
	_, store, _ := strings.Cut(x.text, "store:\n")
	dir := filepath.Join(x.Dir, instanceName(third))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		x.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "aspenshed.yaml"), []byte("store:\n"+store), 0o600); err != nil {
		x.t.Fatal(err)
	}
	if err := x.Start(third); err != nil {
		x.t.Fatal(err)
	}
}

// groupsOf returns the group that a member has in the list of each instance with a front.
func (d *Demo) groupsOf(wire, member string) (groups []int) {
	for _, instance := range d.Instances {
		f := instance.Front(wire)
		if f == nil {
			continue
		}
		instance.RunOnLoop(func() {
			for _, m := range f.Pipeline.Routing.LastMembers() {
				if m.ID == member {
					groups = append(groups, m.Group)
				}
			}
		})
	}
	return groups
}

// Guards against an inventory that the start of the cluster takes back: one that was loaded while a peer was missing becomes
// everybody's once the cluster begins, in place of the file of the start.
func TestReloadBeforeTheClusterBeginsIsKept(t *testing.T) {
	const moved = 9
	x := newLateInstance(t)
	id := x.Databases[WirePostgres].DBs()[2].ID
	x.moveInInventory(t, WirePostgres, id, 1, moved)
	for _, instance := range x.Instances {
		instance.Reload()
	}
	allMoved := func() bool { return fmt.Sprint(x.groupsOf(WirePostgres, id)) == fmt.Sprint([]int{moved, moved}) }
	eventually(t, "the moved member at both instances", allMoved)
	x.startThird()
	eventually(t, "the moved member in everybody's list", func() bool {
		if !allMoved() {
			t.Fatalf("its groups are %v", x.groupsOf(WirePostgres, id))
		}
		group := int32(0)
		x.Instances[0].Store.Read(func(c *catalog.Catalog) {
			if m := c.Member(id); m != nil {
				group = m.Entry.Group
			}
		})
		return group == moved
	})
	if !allMoved() {
		t.Errorf("its groups are %v", x.groupsOf(WirePostgres, id))
	}
}

// moveInInventory writes an inventory whose members are in one group, except for one in another.
func (d *Demo) moveInInventory(t *testing.T, wire, id string, group, moved int) {
	t.Helper()
	lines := []string{"id,address,site,group,kind,state"}
	for _, x := range d.Databases[wire].DBs() {
		of := group
		if x.ID == id {
			of = moved
		}
		lines = append(lines, fmt.Sprintf("%s,%s,site-1,%d,std-4core,in_service", x.ID, x.Address(), of))
	}
	if err := os.WriteFile(filepath.Join(d.Dir, wire+".csv"), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}
