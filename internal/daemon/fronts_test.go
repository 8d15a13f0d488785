package daemon

import (
	"database/sql"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"aspenshed"

	"aspenshed/internal/experiment/standin"
)

// otherClasses have the names of the demonstration's classes, but different settings.
const otherClasses = `classes:
    - {name: point-read, read: any, aim: 300ms, give_up: 900ms, worth: 3, effect: safe}
    - {name: report, read: any, aim: 500ms, give_up: 3s, worth: 1, effect: safe}
    - {name: order, read: write, aim: 600ms, give_up: 4s, worth: 2, effect: unsafe}`

// twoFronts is one instance with two front ends that serve groups of the same number and classes of the same names.
type twoFronts struct {
	*testing.T
	demo            *Demo
	instance        *Daemon
	mysql, postgres *Front
	db              *sql.DB
	orders          int
}

func newTwoFronts(t *testing.T) *twoFronts {
	dir := t.TempDir()
	demo, err := NewDemo(dir, DemoOptions{Instances: 1, Limits: standin.DefaultLimits(), EditConfig: func(text string) string {
		inventory, err := os.ReadFile(filepath.Join(dir, "mysql.csv"))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, "mysql.csv"), []byte(strings.ReplaceAll(string(inventory), ",2,", ",1,")), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		return strings.Replace(strings.Replace(text, "classes: *classes", otherClasses, 1), "group: 2", "group: 1", 1)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := demo.Stop(); err != nil {
			t.Error(err)
		}
	})
	x := &twoFronts{T: t, demo: demo, instance: demo.Instances[0]}
	x.mysql, x.postgres = x.instance.Front(WireMySQL), x.instance.Front(WirePostgres)
	if x.db, err = sql.Open("mysql", fmt.Sprintf("web:pass@tcp(%s)/app", x.mysql.Net.Addr())); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = x.db.Close() })
	return x
}

// order sends orders to a front end until one is served, from which the front end learns its primary.
func (x *twoFronts) order(f *Front) {
	x.Helper()
	eventually(x.T, "an order served by "+f.Wire, func() (served bool) {
		x.orders++
		if f == x.mysql {
			var row string
			return x.db.QueryRow(fmt.Sprintf("SELECT place() /* id=m%d,c=order */", x.orders)).Scan(&row) == nil
		}
		_, err := QueryPostgres(f.Net.Addr(), fmt.Sprintf("SELECT place() /* id=p%d,c=order,d=900,cluster=1 */", x.orders), eventuallyTimeout)
		return err == nil
	})
}

// frontState is the state of a front end: its settings, the states of its members and the primary that it knows.
type frontState struct {
	settings aspenshed.Settings
	members  map[string]aspenshed.MemberState
	primary  string
}

func (x *twoFronts) state(f *Front) (s frontState) {
	x.instance.RunOnLoop(func() {
		s = frontState{f.Pipeline.Routing.Settings, map[string]aspenshed.MemberState{}, ""}
		for _, m := range f.Pipeline.Routing.LastMembers() {
			s.members[m.ID] = m.State
		}
		if learned, _ := f.Pipeline.Learned(); len(learned.Groups) > 0 {
			s.primary = learned.Groups[0].Primary
		}
	})
	return s
}

// primary sends orders to a front end until it knows that primary.
func (x *twoFronts) primary(f *Front, id string) {
	x.Helper()
	eventually(x.T, f.Wire+" knowing "+id, func() bool {
		x.order(f)
		return x.state(f).primary == id
	})
}

// unchanged fails if the state of a front end differs from before.
func (x *twoFronts) unchanged(f *Front, before frontState, after string) {
	x.Helper()
	if now := x.state(f); !reflect.DeepEqual(now, before) {
		x.Errorf("after %s, the state of %s is %+v, before %+v", after, f.Wire, now, before)
	}
}

// Guards against state shared between the front ends of one daemon whose groups and classes have equal names. What one
// learns, and what SIGHUP changes or rejects for one while the other learns, leaves the other unchanged.
func TestReloadKeepsFrontEndsWithEqualNamesSeparate(t *testing.T) {
	x := newTwoFronts(t)
	x.primary(x.mysql, "my-a")
	x.primary(x.postgres, "po-a")
	mysql, postgres := x.state(x.mysql), x.state(x.postgres)
	if a, b := mysql.settings.Classes, postgres.settings.Classes; a[0].Name != b[0].Name || a[0].Consistency == b[0].Consistency || a[2].ClientTimeout == b[2].ClientTimeout {
		t.Fatalf("the fronts' classes are %+v and %+v", a, b)
	}

	x.demo.Databases[WireMySQL].Promote("my-c")
	x.primary(x.mysql, "my-c")
	x.unchanged(x.postgres, postgres, "mysql's switchover")

	// The loop is blocked, so the reload and the other front end's updates queue up together.
	stopped, proceed := make(chan bool), make(chan bool)
	x.instance.loop.Post(func() { close(stopped); <-proceed })
	<-stopped
	if err := x.demo.WriteInventory(WireMySQL, 1, "my-b"); err != nil {
		t.Fatal(err)
	}
	x.instance.Reload()
	x.demo.Databases[WirePostgres].Promote("po-b")
	x.instance.Reload()
	close(proceed)
	x.primary(x.postgres, "po-b")
	eventually(t, "mysql's drain", func() bool { return x.state(x.mysql).members["my-b"] == aspenshed.Draining })
	mysql.members["my-b"], mysql.primary = aspenshed.Draining, "my-c"
	postgres.primary = "po-b"
	x.unchanged(x.mysql, mysql, "its reload and the other's switchover")
	x.unchanged(x.postgres, postgres, "the other's reload")

	// An invalid inventory of one front end, and a new give_up in the deploy file, which takes effect only at a
	// restart.
	if err := os.WriteFile(filepath.Join(x.demo.Dir, "mysql.csv"), []byte("no inventory\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := x.demo.WriteInventory(WirePostgres, 1, "po-c"); err != nil {
		t.Fatal(err)
	}
	path := x.instance.cfg.Path
	text := strings.Replace(string(x.demo.Deploys[0].Text), "give_up: 4s", "give_up: 2s", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x.instance.Reload()
	eventually(t, "postgres's drain", func() bool { return x.state(x.postgres).members["po-c"] == aspenshed.Draining })
	postgres.members["po-c"] = aspenshed.Draining
	x.unchanged(x.mysql, mysql, "its own invalid inventory")
	x.unchanged(x.postgres, postgres, "its reload with the other's invalid inventory")

	for id, primary := range map[string]bool{"my-c": true, "po-b": true, "my-a": false, "po-a": false} {
		eventually(t, "the agreed role of "+id, func() bool {
			for _, m := range x.instance.Members() {
				if m.ID == id {
					return m.Primary == primary
				}
			}
			return false
		})
	}
	x.order(x.mysql)
	x.order(x.postgres)
}
