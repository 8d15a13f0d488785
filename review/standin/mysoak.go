package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["mysoak"] = runMySoak }

// runMySoak plays random faults at MySQL servers and checks each statement: a write runs once at most, one that was refused
// never, one that was served once; each answer belongs to its statement and comes in time.
func runMySoak(e *env) (verdict, error) {
	var mu sync.Mutex
	ran := map[string]int{}
	var faults atomic.Bool
	run := func(d *myDatabase, sql, arg string) (string, []byte, bool) {
		id := arg
		if id == "" {
			id = fields(sql)["k"]
		}
		id = strings.TrimSpace(id)
		write := strings.HasPrefix(sql, "INSERT")
		e.rec.printf("run     %s %s", d.name, id)
		bad := faults.Load()
		x := rand.IntN(1000)
		switch {
		case bad && x < 15:
			return "", nil, true
		case write && d.isReadOnly():
			return "", myErr(1290, "HY000", "read only"), false
		case bad && x < 30:
			return "", myErr(1040, "08004", "too many"), false
		}
		time.Sleep(time.Duration(5+rand.IntN(60)) * time.Millisecond)
		if bad && x < 40 {
			time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
		}
		if write {
			mu.Lock()
			ran[id]++
			mu.Unlock()
		}
		switch {
		case bad && x > 985:
			return "", nil, true
		case bad && x > 975:
			return "", myErr(1105, "HY000", "some error"), false
		}
		return id, nil, false
	}
	var dbs []*myDatabase
	text := "id,address,site,group,kind,state\n"
	for i := range 3 {
		d, err := startMyDatabase(e.rec, fmt.Sprintf("my%d", i), i == 0, run)
		if err != nil {
			return notRun, err
		}
		d.late = e.trouble && os.Getenv("LATE") != ""
		dbs = append(dbs, d)
		text += fmt.Sprintf("my%d,%s,east,1,std,in_service\n", i, d.listener.Addr())
	}
	listen := freeAddress()
	files := map[string]string{"members.csv": text, "accounts.yaml": "web: pass\n", "password": myPassword, "aspenshed.yaml": `mysql:
  listen: ` + listen + `
  accounts: accounts.yaml
  database: app
  inventory: members.csv
  clients: 300
  links: 200
  server: {user: gateway, password_file: password}
  probe: {role: "SELECT @@global.read_only", position: ""}
  defaults: {read_class: report, write_class: order, tenant: "", group: 1, wait: 2s}
  classes:
    - {name: point-read, read: bounded, bound: 300ms, aim: 400ms, give_up: 1s, worth: 1, late_worth: 0.2, effect: safe}
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
  attempts: 10
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
`}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(e.dir, name), []byte(content), 0o600); err != nil {
			return notRun, err
		}
	}
	gateway, err := start(e.dir, "gateway", nil, "serve", "--deploy", filepath.Join(e.dir, "aspenshed.yaml"))
	if err != nil {
		return notRun, err
	}
	if !waitFor(10*time.Second, func() bool {
		c, err := myDial(listen)
		if err != nil {
			return false
		}
		defer c.conn.Close()
		return c.query("SELECT 1 /* k=ready */", time.Second).value == "ready"
	}) {
		return notRun, fmt.Errorf("the gateway is not ready")
	}
	faults.Store(e.trouble)
	var last atomic.Int64
	outcome := map[string]string{}
	counts := map[string]int{}
	late, wrong := 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *myClient
			stmts := map[string]uint32{}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(30)) * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = myDial(listen); err != nil {
						c = nil
						continue
					}
					stmts = map[string]uint32{}
				}
				id := fmt.Sprintf("s%d", last.Add(1))
				write := rand.IntN(3) == 0
				sql, wait := "SELECT payload FROM t", 2*time.Second
				if rand.IntN(2) == 0 {
					sql = "SELECT other FROM t"
				}
				if write {
					sql, wait = "INSERT INTO t (x) VALUES (1)", 2*time.Second
				}
				t0 := time.Now()
				var r myReply
				e.rec.printf("sent    %s %s", id, sql)
				if k%2 == 0 {
					s := sql + " WHERE x = ?"
					if _, known := stmts[s]; !known {
						n, _, pr := c.prepare(s, wait+2*time.Second)
						if pr.err != nil {
							e.rec.printf("prepare %s %v", id, pr)
							c.conn.Close()
							c = nil
							continue
						}
						if pr.code != 0 {
							continue
						}
						stmts[s] = n
					}
					t0 = time.Now()
					r = c.execute(stmts[s], id, wait+2*time.Second)
				} else {
					r = c.query(sql+" /* k="+id+" */", wait+2*time.Second)
				}
				took := time.Since(t0)
				e.rec.printf("answer  %s %s", id, r)
				mu.Lock()
				kind, _, _ := strings.Cut(r.String(), " ")
				if counts[kind]++; write {
					outcome[id] = kind
				}
				if r.err != nil || took > wait+550*time.Millisecond {
					late++
					e.rec.say("late or lost: %s %v after %v", id, r, took)
				}
				if kind == "served" && strings.TrimSpace(r.value) != id {
					wrong++
					e.rec.say("wrong answer: %s got %q", id, r.value)
				}
				mu.Unlock()
				if r.err != nil {
					c.conn.Close()
					c = nil
				} else if rand.IntN(200) == 0 {
					c.conn.Close()
					c = nil
				}
			}
		}()
	}
	primary := 0
	for i := range 12 {
		time.Sleep(5 * time.Second)
		if !e.trouble {
			continue
		}
		switch i % 4 {
		case 0: // a switch of the primary
			dbs[primary].set(true, false)
			time.Sleep(500 * time.Millisecond)
			primary = (primary + 1) % 3
			dbs[primary].set(false, false)
		case 1: // a hang
			d := dbs[rand.IntN(3)]
			d.set(d.isReadOnly(), true)
			time.Sleep(2 * time.Second)
			d.set(d.isReadOnly(), false)
		case 2:
			gateway.signal(syscall.SIGHUP)
		case 3:
			gateway.signal(syscall.SIGSTOP)
			time.Sleep(150 * time.Millisecond)
			gateway.signal(syscall.SIGCONT)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refusedRan, servedNot := 0, 0, 0
	for id, n := range ran {
		if n > 1 {
			twice++
			e.rec.say("ran %d times: %s %s", n, id, outcome[id])
		}
		if outcome[id] == "refused" {
			refusedRan++
			e.rec.say("refused, but ran: %s", id)
		}
	}
	for id, k := range outcome {
		if k == "served" && ran[id] != 1 {
			servedNot++
			e.rec.say("served, ran %d times: %s", ran[id], id)
		}
	}
	e.rec.say("%v; twice %d, refused but ran %d, served but not run %d, wrong %d, late or lost %d", counts, twice, refusedRan, servedNot, wrong, late)
	if twice+refusedRan+servedNot+wrong+late > 0 {
		return broken, nil
	}
	return held, nil
}
