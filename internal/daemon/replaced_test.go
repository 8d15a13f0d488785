package daemon

import (
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"aspenshed"

	"aspenshed/internal/experiment/standin"
)

// replacedReplica is an installation of three instances whose replica c, of each front end, is replaced while clients of all
// instances read.
type replacedReplica struct {
	*testing.T
	demo    *Demo
	former  map[string]*standin.DB // by wire
	next    map[string]*standin.DB // the server that takes over c's entry
	clients map[string][]func(id string) error
	queries atomic.Int64
}

func newReplacedReplica(t *testing.T) *replacedReplica {
	demo, err := NewDemo(t.TempDir(), DemoOptions{Instances: 3, Limits: standin.DefaultLimits()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := demo.Stop(); err != nil {
			t.Error(err)
		}
	})
	x := &replacedReplica{T: t, demo: demo, former: map[string]*standin.DB{}, next: map[string]*standin.DB{}, clients: map[string][]func(string) error{}}
	for wire, group := range demo.Databases {
		x.former[wire] = group.DBs()[2]
		if x.next[wire], err = group.Add(standin.Protocol(wire), standin.DefaultLimits(), "next", false); err != nil {
			t.Fatal(err)
		}
		for _, instance := range demo.Instances {
			x.clients[wire] = append(x.clients[wire], x.client(instance.Front(wire)))
		}
	}
	return x
}

// client returns a function that sends one read to a front end.
func (x *replacedReplica) client(f *Front) func(id string) error {
	address := f.Net.Addr()
	if f.Wire == WirePostgres {
		return func(id string) error {
			_, err := QueryPostgres(address, fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'r' /* id=%s,c=report,d=1900,cluster=1 */", id), eventuallyTimeout)
			return err
		}
	}
	db, err := sql.Open("mysql", fmt.Sprintf("web:pass@tcp(%s)/app", address))
	if err != nil {
		x.Fatal(err)
	}
	x.Cleanup(func() { _ = db.Close() })
	return func(id string) error {
		var row string
		return db.QueryRow(fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'r' /* id=%s,c=report */", id)).Scan(&row)
	}
}

// read sends reads to all instances until done, a few at a time, and returns the number of those that were served.
func (x *replacedReplica) read(wire string, done func() bool) (served int64) {
	const clientsPerInstance = 3
	var running sync.WaitGroup
	var count atomic.Int64
	for _, query := range x.clients[wire] {
		for range clientsPerInstance {
			running.Add(1)
			go func() {
				defer running.Done()
				for !done() {
					if query(fmt.Sprint("r", x.queries.Add(1))) == nil {
						count.Add(1)
					}
				}
			}()
		}
	}
	running.Wait()
	return count.Load()
}

// readMany sends a fixed number of reads.
func (x *replacedReplica) readMany(wire string) (served int64) {
	const reads = 300
	var sent atomic.Int64
	return x.read(wire, func() bool { return sent.Add(1) > reads })
}

// writeInventory writes a front end's file, in which the entry of the former server is replaced by another one.
func (x *replacedReplica) writeInventory(wire, address string, group int) {
	own := map[string]int{WirePostgres: 1, WireMySQL: 2}[wire]
	lines := []string{"id,address,site,group,kind,state"}
	for _, d := range x.demo.Databases[wire].DBs()[:2] {
		lines = append(lines, fmt.Sprintf("%s,%s,site-1,%d,std-4core,in_service", d.ID, d.Address(), own))
	}
	lines = append(lines, fmt.Sprintf("%s,%s,site-1,%d,std-4core,in_service", x.former[wire].ID, address, group))
	if err := os.WriteFile(filepath.Join(x.demo.Dir, wire+".csv"), []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		x.Fatal(err)
	}
}

// applied reports whether all instances have the entry of the former server as it is in the file.
func (x *replacedReplica) applied(wire, address string, group int) bool {
	for _, instance := range x.demo.Instances {
		found := false
		instance.RunOnLoop(func() {
			for _, m := range instance.Front(wire).Pipeline.Routing.LastMembers() {
				found = found || m.ID == x.former[wire].ID && m.Address == address && m.Group == group && m.State == aspenshed.Up
			}
		})
		if !found {
			return false
		}
	}
	return true
}

func received(d *standin.DB) int {
	r := d.Report()
	return r.Served + r.Overloaded
}

// Guards against requests at a server that the inventory no longer names for their group: at the instance whose file is
// reloaded as at those that learn of it by the store, over both wires, with traffic while it changes.
func TestReloadLeavesReplacedServers(t *testing.T) {
	for _, regrouped := range []bool{false, true} {
		t.Run(map[bool]string{false: "another address", true: "another group"}[regrouped], func(t *testing.T) {
			x := newReplacedReplica(t)
			for wire, former := range x.former {
				address, group := x.next[wire].Address(), map[string]int{WirePostgres: 1, WireMySQL: 2}[wire]
				if regrouped {
					address, group = former.Address(), 9
				}
				eventually(t, "reads at the former server", func() bool { return x.readMany(wire) > 0 && received(former) > 0 })
				x.writeInventory(wire, address, group)
				x.demo.Instances[0].Reload()
				x.read(wire, func() bool { return x.applied(wire, address, group) })
				before := received(former)
				if served := x.readMany(wire); served == 0 {
					t.Errorf("%s: no read was served", wire)
				}
				if n := received(former) - before; n > 0 {
					t.Errorf("%s: %d reads at the former server", wire, n)
				}
				if !regrouped {
					eventually(t, "reads at the new server", func() bool { return x.readMany(wire) > 0 && received(x.next[wire]) > 0 })
				}
			}
		})
	}
}
