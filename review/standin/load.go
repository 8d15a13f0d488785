package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// allowed is how long after SIGHUP what the new inventory says may be disregarded: a change counts as told 4 s after
// SIGHUP at the latest, then come the 2 s of the rule on drains and 50 ms.
const allowed = 4*time.Second + 2*time.Second + 50*time.Millisecond

// classes are those of a small deployment.
const classes = `  classes:
    - {name: point-read, read: bounded, bound: 300ms, aim: 400ms, give_up: 1s, worth: 1, late_worth: 0.2, effect: safe}
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
`

// front is the section of a front of the platform's protocol.
func front(listen string) string {
	return "postgres:\n  listen: " + listen + "\n  inventory: members.csv\n  clients: 100\n  links: 100\n" + classes +
		"  attempts: 10\n  connect_timeout: 250ms\n  idle_close: 15s\n  client_idle: 10m\n"
}

// writeInventory replaces a file of members, each given as id=address, for a member of group 1, or id=address=group.
func writeInventory(path string, members ...string) error {
	text := "id,address,site,group,kind,state\n"
	for _, m := range members {
		p := append(strings.Split(m, "="), "1")
		text += fmt.Sprintf("%s,%s,east,%s,std-4core,in_service\n", p[0], p[1], p[2])
	}
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// load runs clients that each send one request at a time until stop is closed.
type load struct {
	rec     *recorder
	stop    chan struct{}
	wg      sync.WaitGroup
	lastID  atomic.Int64
	served  atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
	// onReply is called with each answer, the group and class of its request and the time at which that was sent.
	onReply func(group int, class string, sent time.Time, r pgReply)
}

// startLoad starts so many clients of a group at a gateway.
func startLoad(rec *recorder, address string, clients, group int, onReply func(int, string, time.Time, pgReply)) *load {
	l := &load{rec: rec, stop: make(chan struct{}), onReply: onReply}
	for range clients {
		l.wg.Add(1)
		go l.client(group, address)
	}
	return l
}

func (l *load) client(group int, address string) {
	defer l.wg.Done()
	var c *pgClient
	for {
		select {
		case <-l.stop:
			if c != nil {
				c.conn.Close()
			}
			return
		case <-time.After(time.Duration(10+rand.IntN(40)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = pgDial(address); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%d%07x", group, l.lastID.Add(1))
		class, wait := "point-read", time.Second
		switch n := rand.IntN(100); {
		case n < 17:
			class, wait = "order", 5*time.Second
		case n < 57:
			class, wait = "report", 2*time.Second
		}
		sql := "SELECT payload FROM entries WHERE ref = 'k" + id + "'"
		if class == "order" {
			sql = "INSERT INTO entries (ref, payload) VALUES ('k" + id + `', '\x00') RETURNING payload`
		}
		sql += fmt.Sprintf(" /* id=%s,c=%s,d=%d,cluster=%d */", id, class, wait.Milliseconds(), group)
		sent := time.Now()
		l.rec.printf("sent    id=%s c=%s cluster=%d", id, class, group)
		r := c.query(sql, wait+time.Second)
		l.rec.printf("answer  id=%s %s", id, r)
		switch {
		case r.err != nil:
			l.failed.Add(1)
			c.conn.Close()
			c = nil
		case r.code == "":
			l.served.Add(1)
		case r.code == "53300" || r.code == "57P03":
			l.refused.Add(1)
		default:
			l.failed.Add(1)
		}
		if l.onReply != nil {
			l.onReply(group, class, sent, r)
		}
	}
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
	l.rec.say("requests served %d, refused %d, failed %d", l.served.Load(), l.refused.Load(), l.failed.Load())
}
