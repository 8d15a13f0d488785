package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["regrouped"] = runRegrouped }

// runRegrouped edits the inventory while the gateway carries traffic: group 1 is split. Replica db3 leaves it and becomes
// the primary of group 2, with db4 as its replica: its server is stopped, gets the data of group 2 and starts again at its
// address. It must get nothing of group 1 any more.
func runRegrouped(e *env) (verdict, error) {
	var dbs []*database
	for i := range 3 { // db1 is the primary of group 1
		d, err := startDatabase(e.rec, fmt.Sprintf("db%d", i+1), "127.0.0.1:0", i == 0)
		if err != nil {
			return notRun, err
		}
		d.work = work
		dbs = append(dbs, d)
	}
	inventory, deploy, listen := filepath.Join(e.dir, "members.csv"), filepath.Join(e.dir, "aspenshed.yaml"), freeAddress()
	list := func() error {
		var members []string
		for _, d := range dbs {
			members = append(members, fmt.Sprintf("%s=%s=%d", d.name, d.address(), d.group))
		}
		return writeInventory(inventory, members...)
	}
	if err := list(); err != nil {
		return notRun, err
	}
	if err := os.WriteFile(deploy, []byte(front(listen)), 0o600); err != nil {
		return notRun, err
	}
	gateway, err := start(e.dir, "gateway", nil, "serve", "--deploy", deploy)
	if err != nil {
		return notRun, err
	}
	if !waitFor(10*time.Second, func() bool { return pgReady(listen) }) {
		return notRun, fmt.Errorf("the gateway is not ready")
	}
	var mu sync.Mutex
	var editedAt time.Time
	misrouted, writes, ofGroup2, foreign, before := 0, 0, 0, 0, 0
	count := func(d *database, at time.Time, _ string, f map[string]string) {
		mu.Lock()
		defer mu.Unlock()
		switch wrong := f["cluster"] != strconv.Itoa(d.group); {
		case wrong && editedAt.IsZero():
			before++
		case wrong && at.Sub(editedAt) > allowed:
			if misrouted++; f["c"] == "order" {
				writes++
			}
		case !wrong && d.group == 2:
			ofGroup2++
		}
	}
	for _, d := range dbs {
		d.onStatement = count
	}
	onReply := func(group int, _ string, sent time.Time, r pgReply) {
		mu.Lock()
		defer mu.Unlock()
		wrong := strings.Contains(r.value, " group ") && !strings.HasSuffix(r.value, " group "+strconv.Itoa(group))
		if wrong && (editedAt.IsZero() || sent.Sub(editedAt) > allowed) {
			foreign++
		}
	}
	l := startLoad(e.rec, listen, 8, 1, onReply)
	var group2 *load
	time.Sleep(5 * time.Second)
	if e.trouble {
		address := dbs[2].address()
		dbs[2].stop()
		e.rec.say("db3 is stopped and gets the data of group 2; the inventory lists it in group 2, with db4; SIGHUP")
		db4, err := startDatabase(e.rec, "db4", "127.0.0.1:0", false)
		if err != nil {
			return notRun, err
		}
		mu.Lock()
		editedAt = time.Now()
		dbs[2].group, db4.group, db4.work, db4.onStatement = 2, 2, work, count
		dbs = append(dbs, db4)
		mu.Unlock()
		if err := list(); err != nil {
			return notRun, err
		}
		gateway.signal(syscall.SIGHUP)
		time.Sleep(2 * time.Second)
		d, err := startDatabase(e.rec, "db3", address, true)
		if err != nil {
			return notRun, err
		}
		mu.Lock()
		d.group, d.work, d.onStatement, dbs[2] = 2, work, count, d
		mu.Unlock()
		e.rec.say("db3 has started again as the primary of group 2")
		time.Sleep(4 * time.Second)
		group2 = startLoad(e.rec, listen, 4, 2, onReply)
	}
	time.Sleep(20 * time.Second)
	e.rec.say("clients of group 1:")
	l.end()
	if group2 != nil {
		e.rec.say("clients of group 2:")
		group2.end()
	}
	mu.Lock()
	defer mu.Unlock()
	e.rec.say("statements at a database of another group: %d before the edit, %d later than %v after it", before, misrouted, allowed)
	e.rec.say("orders among them: %d", writes)
	e.rec.say("statements of group 2 at its databases: %d", ofGroup2)
	e.rec.say("reads answered with another group's data: %d", foreign)
	if gateway.ended() || l.served.Load() == 0 {
		return notRun, fmt.Errorf("the gateway served nothing")
	}
	if before+misrouted+foreign > 0 {
		return broken, nil
	}
	return held, nil
}

func work(string) time.Duration { return time.Duration(40+rand.IntN(60)) * time.Millisecond }
