package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// What was shown and has no case of its own: see REPORT-2. A record goes into the folder that is named, two levels below the root.

func init() {
	cases["late-start"], cases["cut-drain"], cases["two-reloads"], cases["hidden-end"] = lateStart, cutDrain, twoReloads, hiddenEnd
}

// lateStart: a database crashes and comes back; an operator drains it as soon as it is reached again. With TROUBLE=0 it does not
// crash.
func lateStart(r *run) error {
	var dbs []*database
	for i := range 3 {
		d, err := newDatabase(fmt.Sprint("db-", i), i == 0, servePG)
		if err != nil {
			return err
		}
		dbs = append(dbs, d)
	}
	file, err := r.write("members.csv", inventory(dbs...))
	if err != nil {
		return err
	}
	all, err := r.voters(file, 3, 3)
	if err != nil {
		return err
	}
	for _, x := range all {
		if err := r.serve(x); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	time.Sleep(6 * time.Second)
	for _, x := range all {
		go r.load(x, 10*time.Millisecond, stop)
	}
	if !until(20*time.Second, func() bool { return len(dbs[2].after(r.began)) >= 100 }) {
		return fmt.Errorf("the database gets nothing")
	}
	if r.trouble {
		dbs[2].die()
		time.Sleep(5200 * time.Millisecond)
		if err := dbs[2].open(); err != nil {
			return err
		}
		if !until(20*time.Second, func() bool { return !dbs[2].connectedAt().IsZero() }) {
			return fmt.Errorf("nobody has tried the database again")
		}
		r.note("db-2 is back, and was reached")
	}
	if _, err := r.store(all[0], "drain", "db-2"); err != nil {
		return err
	}
	told := time.Now()
	time.Sleep(10 * time.Second)
	_, _ = r.store(all[0], "members")
	r.judgeDrain(dbs[2], told, told)
	return nil
}

// cutDrain: a gateway that subscribes starts while no voter can be reached, and serves by its own inventory. An operator drains a
// database at its socket. With TROUBLE=0 the voters can be reached.
func cutDrain(r *run) error {
	var dbs []*database
	for i := range 3 {
		d, err := newDatabase(fmt.Sprint("db-", i), i == 0, servePG)
		if err != nil {
			return err
		}
		dbs = append(dbs, d)
	}
	file, err := r.write("members.csv", inventory(dbs...))
	if err != nil {
		return err
	}
	all, err := r.voters(file, 3, 1)
	if err != nil {
		return err
	}
	for _, x := range all {
		if r.trouble {
			break
		}
		if err := r.serve(x); err != nil {
			return err
		}
	}
	gateway, err := r.writeInstance("g", file, fmt.Sprintf("store:\n  cluster: review\n  id: g\n  subscribe: [%s, %s, %s]\n", all[0].subscribers, all[1].subscribers, all[2].subscribers))
	if err != nil {
		return err
	}
	if err := r.serve(gateway); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go r.load(gateway, 10*time.Millisecond, stop)
	if !until(20*time.Second, func() bool { return len(dbs[2].after(r.began)) >= 50 }) {
		return fmt.Errorf("the database gets nothing")
	}
	told := time.Now()
	go func() { _, _ = r.store(gateway, "drain", "db-2") }()
	time.Sleep(20 * time.Second)
	r.judgeDrain(dbs[2], told, told)
	return nil
}

// twoReloads: the leader is killed, and while there is none an inventory that moves a database is loaded by SIGHUP, and 0.9 s later
// the one before. With TROUBLE=0 the leader stays.
func twoReloads(r *run) error {
	g, err := newGroups()
	if err != nil {
		return err
	}
	file, err := r.write("members.csv", g.list())
	if err != nil {
		return err
	}
	all, err := r.voters(file, 3, 3)
	if err != nil {
		return err
	}
	for _, x := range all {
		if err := r.serve(x); err != nil {
			return err
		}
	}
	time.Sleep(7 * time.Second)
	var rest []*instance
	for _, x := range all {
		if r.status(x)["mode"] != "leading" {
			rest = append(rest, x)
		} else if r.trouble {
			r.kill(x.proc)
		}
	}
	if len(rest) != 2 {
		return fmt.Errorf("%d instances follow", len(rest))
	}
	time.Sleep(200 * time.Millisecond)
	for _, moved := range []bool{true, false} {
		g.moved.Store(moved)
		if _, err := r.write("members.csv", g.list()); err != nil {
			return err
		}
		r.note("db-2 moved: %v; SIGHUP", moved)
		for _, x := range rest {
			x.proc.signal(syscall.SIGHUP)
		}
		time.Sleep(900 * time.Millisecond)
	}
	from, wrong := time.Now(), 0
	for i := 0; time.Since(from) < 15*time.Second; i++ {
		value, code, err := r.read(rest[i/2%2], 1+i%2)
		if err == nil && code == "" && value != fmt.Sprintf("data of group %d", 1+i%2) && time.Since(from) > 5*time.Second {
			wrong++
		}
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = r.store(rest[0], "members")
	if wrong > 0 {
		r.breach("%d reads of one group were answered with the data of the other, 5 s and more after the last SIGHUP", wrong)
	}
	return nil
}

// hiddenEnd: a client sends 20,000 commands at once and goes, so that its end stands behind what the gateway has not read. With
// TROUBLE=0 it sends 100.
func hiddenEnd(r *run) error {
	var dbs []*database
	for i := range 3 {
		d, err := newDatabase(fmt.Sprint("pg-", i), i == 0, servePG)
		if err != nil {
			return err
		}
		d.serve = func(s statement) answer {
			if field(s.sql, "c") == "summary" {
				return answer{after: 1200 * time.Millisecond, value: "report"}
			}
			return answer{after: 150 * time.Millisecond, value: "v"}
		}
		dbs = append(dbs, d)
	}
	_, listen, err := r.startGateway(dbs, 192, 1024, "")
	if err != nil {
		return err
	}
	c, err := dialPG(listen)
	if err != nil {
		return err
	}
	n := 20000
	if !r.trouble {
		n = 100
	}
	var all strings.Builder
	all.Write(pgQuery("SELECT payload FROM entries WHERE ref = 'r' /* id=report,c=summary,d=10000,cluster=1 */"))
	for i := range n {
		all.Write(pgQuery(fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'a' /* id=read%d,c=report,d=2000,cluster=1 */", i)))
	}
	r.note("sent the report and %d reads", n)
	go func() { _, _ = c.conn.Write([]byte(all.String())) }()
	time.Sleep(100 * time.Millisecond)
	c.conn.Close()
	closed := time.Now()
	r.note("the client has closed its connection")
	time.Sleep(4 * time.Second)
	late := 0
	for _, d := range dbs {
		for _, s := range d.after(closed.Add(150 * time.Millisecond)) {
			if late++; late <= 20 {
				r.note("%s got %s %.3f s after the close", d.name, s.id, s.at.Sub(closed).Seconds())
			}
		}
	}
	if late > 0 {
		r.breach("%d attempts began more than 0.15 s after their client had closed", late)
	}
	return nil
}
