package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["stale-primary"] = stalePrimary }

const deployMySQLAlone = deployMySQL + `store:
  id: a
admin:
  socket: admin.sock
`

// commits are the commits of a group, by their times.
type commits struct {
	mu  sync.Mutex
	at  []time.Time
	who int // the primary
}

// version returns how many commits there were at a time.
func (c *commits) version(t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.at)
	for n > 0 && c.at[n-1].After(t) {
		n--
	}
	return n
}

// next returns when the data of that version stopped to be the newest.
func (c *commits) next(version int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < len(c.at) {
		return c.at[version], true
	}
	return time.Time{}, false
}

// stalePrimary: a primary hands over to a replica while a statement of staff, which any server may run, is at it. Other gateways
// write to the new primary. The former one is a replica from then on, and holds a long report of 1.2 s again and again, in which it
// applies nothing. With TROUBLE=0 nothing is handed over.
func stalePrimary(r *run) error {
	const report = 1200 * time.Millisecond
	group := &commits{}
	var dbs []*database
	var handed time.Time
	primary := func() int {
		group.mu.Lock()
		defer group.mu.Unlock()
		return group.who
	}
	for i := range 3 {
		d, err := newDatabase(fmt.Sprint("my-", i), i == 0, serveMy)
		if err != nil {
			return err
		}
		d.isPrimary = func() bool { return primary() == i }
		d.serve = func(s statement) answer {
			now := time.Now()
			switch {
			case strings.HasPrefix(s.sql, "EXPLAIN"):
				return answer{after: 1400 * time.Millisecond, value: "cost 1"}
			case strings.HasPrefix(s.sql, "INSERT"):
				group.mu.Lock()
				group.at = append(group.at, now)
				group.mu.Unlock()
			case i == 0 && primary() != 0:
				now = handed.Add(now.Sub(handed) / report * report) // as it was when the report began
			case primary() != i:
				now = now.Add(-15 * time.Millisecond)
			}
			return answer{after: time.Millisecond, value: strconv.Itoa(group.version(now))}
		}
		dbs = append(dbs, d)
	}
	if _, err := r.write("a/accounts.yaml", "web: pass\n"); err != nil {
		return err
	}
	if _, err := r.write("a/inventory.csv", inventory(dbs...)); err != nil {
		return err
	}
	listen := freeAddress()
	text := strings.Replace(fmt.Sprintf(deployMySQLAlone, listen), "    - {name: report,",
		"    - {name: point-read, read: bounded, bound: 300ms, aim: 400ms, give_up: 1s, worth: 1, late_worth: 0.2, effect: safe}\n    - {name: report,", 1)
	deploy, err := r.write("a/aspenshed.yaml", text)
	if err != nil {
		return err
	}
	if _, err := r.start("gateway", "exec bin/aspenshed serve --deploy "+deploy); err != nil {
		return err
	}
	order := func(id string) string {
		m, err := dialMy(listen, "web", "pass")
		if err != nil {
			return err.Error()
		}
		defer m.conn.Close()
		got, _, err := m.askValue("INSERT INTO seats (ref) VALUES ('a') /* id="+id+",c=order,d=5000,cluster=1 */", 6*time.Second)
		return fmt.Sprint(got, " ", err)
	}
	if !until(10*time.Second, func() bool {
		return strings.HasPrefix(order("first"+strconv.FormatInt(time.Now().UnixNano(), 10)), "served")
	}) {
		return fmt.Errorf("no order is served")
	}
	// Others' orders: 20 a second at whoever is the primary.
	stop := make(chan struct{})
	defer close(stop)
	var pause time.Time
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			group.mu.Lock()
			if now := time.Now(); now.After(pause) {
				group.at = append(group.at, now)
			}
			group.mu.Unlock()
		}
	}()
	explain, err := dialMy(listen, "web", "pass")
	if err != nil {
		return err
	}
	explained := make(chan string, 1)
	go func() {
		got, _, err := explain.askValue("EXPLAIN ANALYZE SELECT SUM(fare) FROM orders /* id=explain,c=order,d=5000,cluster=1 */", 8*time.Second)
		explained <- fmt.Sprint(got, " ", err)
	}()
	time.Sleep(100 * time.Millisecond)
	told := time.Now()
	if r.trouble {
		group.mu.Lock()
		group.who, handed = -1, time.Now()
		pause = handed.Add(400 * time.Millisecond)
		group.mu.Unlock()
		r.note("my-0 is no primary any more, and there is none for 0.4 s")
		time.Sleep(400 * time.Millisecond)
		group.mu.Lock()
		group.who = 1
		group.mu.Unlock()
		r.note("my-1 is the primary")
	}
	r.note("an order by the gateway: %s", order("after"))
	told = time.Now()
	for _, d := range dbs {
		for _, s := range d.after(r.began) {
			if s.id == "after" {
				r.note("it ran at %s", d.name)
			}
		}
	}
	// From here on the gateway has been told that my-0 is no primary.
	reader, err := dialMy(listen, "web", "pass")
	if err != nil {
		return err
	}
	reads, stale := 0, 0
	for time.Since(told) < 12*time.Second {
		select {
		case got := <-explained:
			r.note("the statement of staff is answered: %s", got)
		default:
		}
		sent := time.Now()
		got, value, err := reader.askValue(fmt.Sprintf("SELECT free FROM seats /* id=read%d,c=point-read,d=900,cluster=1 */", reads), 2*time.Second)
		if err != nil {
			return err
		}
		reads++
		if got != "served" {
			r.note("read %d: %s", reads, got)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		version, _ := strconv.Atoi(value)
		if until, ok := group.next(version); ok && sent.Sub(until) > 350*time.Millisecond && time.Since(told) > 500*time.Millisecond {
			if stale++; stale <= 10 {
				r.note("read %d, sent %.2f s after the gateway was told, shows data %.0f ms old", reads, sent.Sub(told).Seconds(), float64(sent.Sub(until).Milliseconds()))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.note("%d reads, at my-0 %d, my-1 %d, my-2 %d", reads, len(dbs[0].after(told)), len(dbs[1].after(told)), len(dbs[2].after(told)))
	if stale > 0 {
		r.breach("%d of %d reads whose data may be 300 ms old show older data, from a database that has told that it is no primary", stale, reads)
	}
	return nil
}
