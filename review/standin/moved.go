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

func init() { cases["moved"] = runMoved }

// runMoved edits the inventory while the gateway carries traffic: replica db3 has moved to another address. The server
// at the former address is out of the list and must get nothing new from 2 s on.
func runMoved(e *env) (verdict, error) {
	var dbs []*database
	for i := range 4 { // db1 is the primary; the fourth server is the new place of db3
		d, err := startDatabase(e.rec, fmt.Sprintf("server%d", i+1), "127.0.0.1:0", i == 0)
		if err != nil {
			return notRun, err
		}
		d.work = work
		dbs = append(dbs, d)
	}
	inventory, deploy, listen := filepath.Join(e.dir, "members.csv"), filepath.Join(e.dir, "aspenshed.yaml"), freeAddress()
	list := func(db3 *database) error {
		return writeInventory(inventory, "db1="+dbs[0].address(), "db2="+dbs[1].address(), "db3="+db3.address())
	}
	if err := list(dbs[2]); err != nil {
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
	var movedAt time.Time
	late, lateStale, first, last := 0, 0, time.Duration(0), time.Duration(0)
	toNew := 0
	dbs[2].onStatement = func(_ *database, at time.Time, _ string, f map[string]string) {
		mu.Lock()
		defer mu.Unlock()
		if movedAt.IsZero() || at.Sub(movedAt) <= allowed {
			return
		}
		if late++; late == 1 {
			first = at.Sub(movedAt)
		}
		last = at.Sub(movedAt)
	}
	dbs[3].onStatement = func(*database, time.Time, string, map[string]string) {
		mu.Lock()
		defer mu.Unlock()
		toNew++
	}
	l := startLoad(e.rec, listen, 12, 1, func(_ int, class string, sent time.Time, r pgReply) {
		name, rest, _ := strings.Cut(r.value, " ")
		position, _, _ := strings.Cut(rest, " ")
		at, _ := strconv.ParseInt(position, 10, 64)
		if class != "point-read" || name != "server3" || r.code != "" || r.err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if !movedAt.IsZero() && sent.Sub(movedAt) > allowed && sent.UnixMilli()-at > 300+50 {
			lateStale++
		}
	})
	time.Sleep(5 * time.Second)
	if e.trouble {
		if err := list(dbs[3]); err != nil {
			return notRun, err
		}
		e.rec.say("the inventory now lists db3 at server4 instead of server3; SIGHUP")
		mu.Lock()
		movedAt = time.Now()
		mu.Unlock()
		gateway.signal(syscall.SIGHUP)
		// The former server is no longer part of the group: it finishes what it has and follows the primary no more.
		dbs[2].mu.Lock()
		dbs[2].frozenAt = movedAt
		dbs[2].mu.Unlock()
	}
	time.Sleep(30 * time.Second)
	l.end()
	mu.Lock()
	defer mu.Unlock()
	e.rec.say("statements to the new server: %d", toNew)
	e.rec.say("statements to the former server later than %v after SIGHUP: %d (first after %v, last after %v)", allowed, late,
		first.Round(time.Millisecond), last.Round(time.Millisecond))
	e.rec.say("point-reads answered from it with data older than 300 ms: %d", lateStale)
	if gateway.ended() || l.served.Load() == 0 {
		return notRun, fmt.Errorf("the gateway served nothing")
	}
	if late > 0 || lateStale > 0 {
		return broken, nil
	}
	return held, nil
}
