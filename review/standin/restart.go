package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = runRestart }

// instance is one daemon of an installation of three.
type instance struct {
	name, dir, deploy, listen string
	process                   *process
}

// installation has three daemons with a replicated store; every one has its own inventory file. All that goes between b
// and the two others goes over a link.
type installation struct {
	e         *env
	instances []*instance
	link      *link
}

func newInstallation(e *env, members ...string) (*installation, error) {
	x := &installation{e: e, link: newLink()}
	stores, overLink := [][2]string{}, [][2]string{}
	for range 3 {
		a, p := [2]string{freeAddress(), freeAddress()}, [2]string{}
		for k := range a {
			var err error
			if p[k], err = x.link.proxy(a[k]); err != nil {
				return nil, err
			}
		}
		stores, overLink = append(stores, a), append(overLink, p)
	}
	for i, a := range stores {
		n := &instance{name: string(rune('a' + i)), listen: freeAddress()}
		n.dir = filepath.Join(e.dir, n.name)
		var peers []string
		for k := range stores {
			at := stores[k]
			if k != i && (k == 1 || i == 1) { // to b, or from b
				at = overLink[k]
			}
			peers = append(peers, fmt.Sprintf("{id: %c, address: %s, service: %s}", 'a'+k, at[0], at[1]))
		}
		n.deploy = filepath.Join(n.dir, "aspenshed.yaml")
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			return nil, err
		}
		text := front(n.listen) + fmt.Sprintf("store:\n  cluster: fleet\n  id: %s\n  address: %s\n  service: %s\n  data_dir: data\n  peers: [%s]\nadmin:\n  socket: admin.sock\n",
			n.name, a[0], a[1], strings.Join(peers, ", "))
		if err := os.WriteFile(n.deploy, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := writeInventory(filepath.Join(n.dir, "members.csv"), members...); err != nil {
			return nil, err
		}
		x.instances = append(x.instances, n)
	}
	for _, n := range x.instances {
		if err := x.start(n); err != nil {
			return nil, err
		}
	}
	for _, n := range x.instances {
		if !waitFor(15*time.Second, func() bool { return pgReady(n.listen) && len(x.members(n)) == len(members) && x.leader() != nil }) {
			return nil, fmt.Errorf("instance %s is not ready", n.name)
		}
	}
	return x, nil
}

func (x *installation) start(n *instance) (err error) {
	n.process, err = start(x.e.dir, n.name, nil, "serve", "--deploy", n.deploy)
	return err
}

// command runs a sub-command of the project's program against an instance.
func (x *installation) command(n *instance, args ...string) (string, error) {
	run, err := runCommand()
	if err != nil {
		return "", err
	}
	cmd := exec.Command("/bin/sh", "-c", run+` "$@"`, "sh")
	cmd.Args = append(cmd.Args, append(args, "--deploy", n.deploy)...)
	cmd.Dir, cmd.SysProcAttr = root, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// members returns the state of each member as an instance's store has it.
func (x *installation) members(n *instance) map[string]string {
	text, err := x.command(n, "store", "members", "--output", "json")
	if err != nil {
		return nil
	}
	var list []struct{ ID, State string }
	if json.Unmarshal([]byte(text), &list) != nil {
		return nil
	}
	out := map[string]string{}
	for _, m := range list {
		out[m.ID] = m.State
	}
	return out
}

// leader returns the instance that says that it leads.
func (x *installation) leader() *instance {
	for _, n := range x.instances {
		if text, err := x.command(n, "store", "status", "--output", "json"); err == nil && strings.Contains(text, `"leading"`) {
			return n
		}
	}
	return nil
}

// runRestart drains a database by the operator's word, which all three instances hold. Then b is cut off from the others
// for 25 s, and is killed and starts again meanwhile. It must not send the drained database anything.
func runRestart(e *env) (verdict, error) {
	var dbs []*database
	for i := range 3 {
		d, err := startDatabase(e.rec, fmt.Sprintf("db%d", i+1), "127.0.0.1:0", i == 0)
		if err != nil {
			return notRun, err
		}
		dbs = append(dbs, d)
	}
	x, err := newInstallation(e, "db1="+dbs[0].address(), "db2="+dbs[1].address(), "db3="+dbs[2].address())
	if err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	var drainedAt, readyAgainAt time.Time
	const grace = 2050 * time.Millisecond // of the rule on drains, and 50 ms
	restarting, before, atStart := false, 0, 0
	var late []time.Duration // after the restarted instance was ready again
	dbs[2].onStatement = func(_ *database, at time.Time, _ string, _ map[string]string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case drainedAt.IsZero() || at.Sub(drainedAt) <= grace:
		case readyAgainAt.IsZero() && !restarting:
			before++
		case readyAgainAt.IsZero() || at.Sub(readyAgainAt) <= grace:
			atStart++
		default:
			late = append(late, at.Sub(readyAgainAt))
		}
	}
	restarted, others := x.instances[1], []*instance{x.instances[0], x.instances[2]}
	l := startLoad(e.rec, restarted.listen, 6, 1, nil)
	time.Sleep(3 * time.Second)
	out, err := x.command(restarted, "store", "drain", "db3")
	e.rec.say("store drain db3 at instance %s: %s %v", restarted.name, out, err)
	if err != nil {
		return notRun, err
	}
	for _, n := range x.instances {
		if !waitFor(2*time.Second, func() bool { return x.members(n)["db3"] == "draining" }) {
			return notRun, fmt.Errorf("instance %s does not hold the drain", n.name)
		}
	}
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	e.rec.say("all instances hold the drain")
	time.Sleep(10 * time.Second)
	if e.trouble {
		e.rec.say("instance %s is cut off, killed and starts again", restarted.name)
		x.link.cut()
		restarted.process.kill()
		mu.Lock()
		restarting = true
		mu.Unlock()
		if err := x.start(restarted); err != nil {
			return notRun, err
		}
	}
	if !waitFor(10*time.Second, func() bool { return pgReady(restarted.listen) }) {
		return notRun, fmt.Errorf("instance %s is not ready", restarted.name)
	}
	mu.Lock()
	readyAgainAt = time.Now()
	mu.Unlock()
	e.rec.say("instance %s is ready and holds %v", restarted.name, x.members(restarted))
	time.Sleep(25 * time.Second)
	if e.trouble {
		if passed := x.link.heal(); passed > 0 {
			return notRun, fmt.Errorf("%d bytes passed during the cut", passed)
		}
		for _, n := range others {
			if n.process.ended() || !pgReady(n.listen) {
				return notRun, fmt.Errorf("instance %s does not serve", n.name)
			}
		}
		e.rec.say("the cut is over; the others serve")
	}
	time.Sleep(6 * time.Second)
	l.end()
	for _, n := range x.instances {
		e.rec.say("instance %s holds db3 as %q", n.name, x.members(n)["db3"])
	}
	mu.Lock()
	defer mu.Unlock()
	e.rec.say("statements sent to db3 later than %v after the drain: %d before the restart, %d up to %v after it, %d later", grace,
		before, atStart, grace, len(late))
	if len(late) > 0 {
		e.rec.say("first %v, last %v after the instance was ready again", late[0].Round(time.Millisecond), late[len(late)-1].Round(time.Millisecond))
	}
	if l.served.Load() == 0 {
		return notRun, fmt.Errorf("nothing was served")
	}
	if before+len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
