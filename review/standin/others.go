package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What is tried here has no folder of its own: the report says why.

func init() {
	cases["duplicate"] = runDuplicate
	cases["pipeline"] = runPipeline
}

// startGateway starts three databases for each group and a daemon that serves them.
func startGateway(e *env, groups int) (dbs []*database, gateway *process, listen, inventory string, err error) {
	var members []string
	for i := range 3 * groups {
		d, err := startDatabase(e.rec, fmt.Sprintf("db%d", i+1), "127.0.0.1:0", i%3 == 0)
		if err != nil {
			return nil, nil, "", "", err
		}
		d.group, d.work = 1+i/3, work
		dbs = append(dbs, d)
		members = append(members, fmt.Sprintf("%s=%s=%d", d.name, d.address(), d.group))
	}
	var deploy string
	inventory, deploy, listen = filepath.Join(e.dir, "members.csv"), filepath.Join(e.dir, "aspenshed.yaml"), freeAddress()
	if err := writeInventory(inventory, members...); err != nil {
		return nil, nil, "", "", err
	}
	if err := os.WriteFile(deploy, []byte(front(listen)), 0o600); err != nil {
		return nil, nil, "", "", err
	}
	if gateway, err = start(e.dir, "gateway", nil, "serve", "--deploy", deploy); err != nil {
		return nil, nil, "", "", err
	}
	if !waitFor(10*time.Second, func() bool { return pgReady(listen) }) {
		return nil, nil, "", "", fmt.Errorf("the gateway is not ready")
	}
	return dbs, gateway, listen, inventory, nil
}

// runDuplicate has the gateway read a file that names one address twice: db5 of group 2 has that of db2 of group 1. The
// file must be turned down.
func runDuplicate(e *env) (verdict, error) {
	dbs, gateway, listen, inventory, err := startGateway(e, 2)
	if err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	foreign := 0
	onReply := func(group int, _ string, _ time.Time, r pgReply) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(r.value, " group ") && !strings.HasSuffix(r.value, " group "+strconv.Itoa(group)) {
			foreign++
		}
	}
	loads := []*load{startLoad(e.rec, listen, 6, 1, onReply), startLoad(e.rec, listen, 6, 2, onReply)}
	time.Sleep(4 * time.Second)
	if e.trouble {
		var members []string
		for i, d := range dbs {
			a := d.address()
			if i == 4 {
				a = dbs[1].address()
			}
			members = append(members, fmt.Sprintf("%s=%s=%d", d.name, a, d.group))
		}
		if err := writeInventory(inventory, members...); err != nil {
			return notRun, err
		}
		e.rec.say("the inventory gives db5 of group 2 the address of db2 of group 1; SIGHUP")
		gateway.signal(syscall.SIGHUP)
	}
	time.Sleep(15 * time.Second)
	for _, l := range loads {
		l.end()
	}
	mu.Lock()
	defer mu.Unlock()
	e.rec.say("reads answered with another group's data: %d", foreign)
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}

// runPipeline has one client send 300 reads at once on one connection of the platform's gateway (30 with TROUBLE=0).
func runPipeline(e *env) (verdict, error) {
	_, _, listen, err := startPlatformGateway(e, 192, 1024)
	if err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	c, err := pgDial(listen)
	if err != nil {
		return notRun, err
	}
	n := 30
	if e.trouble {
		n = 300
	}
	var out []byte
	for i := range n {
		out = append(out, pgMessage('Q', fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'k' /* id=%d,c=report,d=2000,cluster=1 */\x00", i))...)
	}
	if _, err := c.conn.Write(out); err != nil {
		return notRun, err
	}
	answered := 0
	for answered < n {
		r := c.receive(20 * time.Second)
		e.rec.printf("answer  %d %s", answered, r)
		if r.err != nil {
			break
		}
		answered++
	}
	e.rec.say("%d commands sent at once, %d answered", n, answered)
	if answered < n {
		return broken, nil
	}
	return held, nil
}
