package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["mysql-term"] = mysqlTerm }

// deployMySQL is the file of a platform's gateway that also serves MySQL clients.
const deployMySQL = `mysql:
  listen: %s
  accounts: accounts.yaml
  database: app
  inventory: inventory.csv
  clients: 100
  links: 100
  server: {user: gateway, password_file: ""}
  probe: {role: "SELECT @@global.read_only", position: ""}
  defaults: {read_class: report, write_class: order, tenant: "", group: 1, wait: 2s}
  classes: &classes
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, late_worth: 0.2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
  tenants: []
  attempts: 10
  retry_advice: false
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
`

func inventory(dbs ...*database) string {
	text := "id,address,site,group,kind,state\n"
	for _, d := range dbs {
		text += fmt.Sprintf("%s,%s,site-1,1,std-4core,in_service\n", d.name, d.address)
	}
	return text
}

// hangAtOrder has a database hang from its first order on.
func hangAtOrder(d *database) func(statement) answer {
	return func(s statement) answer {
		if field(s.sql, "c") == "order" {
			d.hang()
			return answer{never: true}
		}
		return answer{value: "1"}
	}
}

// mysqlTerm: the primary of each group, one of its three databases, hangs with orders out at it, just as the gateway is told to
// end. The same load is on both fronts of the gateway. With TROUBLE=0 the databases hang as well, and nobody ends the gateway.
func mysqlTerm(r *run) error {
	var my, pg []*database
	for i := range 3 {
		a, err := newDatabase(fmt.Sprint("my-", i), i == 0, serveMy)
		if err != nil {
			return err
		}
		b, err := newDatabase(fmt.Sprint("pg-", i), i == 0, servePG)
		if err != nil {
			return err
		}
		if i == 0 {
			a.serve, b.serve = hangAtOrder(a), hangAtOrder(b)
		}
		my, pg = append(my, a), append(pg, b)
	}
	myListen := freeAddress()
	if _, err := r.write("deploy/accounts.yaml", "web: pass\n"); err != nil {
		return err
	}
	if _, err := r.write("deploy/inventory.csv", inventory(my...)); err != nil {
		return err
	}
	deploy, err := r.write("deploy/aspenshed.yaml", fmt.Sprintf(deployMySQL, myListen))
	if err != nil {
		return err
	}
	gateway, pgListen, err := r.startGateway(pg, 192, 1024, " --deploy "+deploy)
	if err != nil {
		return err
	}
	// Both fronts serve before anything happens.
	if !until(5*time.Second, func() bool {
		m, err := dialMy(myListen, "web", "pass")
		if err != nil {
			return false
		}
		defer m.conn.Close()
		got, err := m.ask("SELECT 1 /* id=first,c=report,d=1000,cluster=1 */", time.Second)
		return err == nil && got == "served"
	}) {
		return fmt.Errorf("the MySQL front serves nothing")
	}
	type end struct {
		front, id, got string
		err            error
		after          time.Duration
	}
	const n = 3
	ends := make(chan end, 2*n)
	for i := range n {
		m, err := dialMy(myListen, "web", "pass")
		if err != nil {
			return err
		}
		p, err := dialPG(pgListen)
		if err != nil {
			return err
		}
		go func() {
			id, began := fmt.Sprint("my", i), time.Now()
			got, err := m.ask(fmt.Sprintf("INSERT INTO entries (ref) VALUES ('a') /* id=%s,c=order,d=5000,cluster=1 */", id), 8*time.Second)
			ends <- end{"mysql", id, got, err, time.Since(began)}
		}()
		go func() {
			id, began := fmt.Sprint("pg", i), time.Now()
			value, code, err := p.ask(fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('a', '\\x00') RETURNING payload /* id=%s,c=order,d=5000,cluster=1 */", id), 8*time.Second)
			ends <- end{"platform", id, value + code, err, time.Since(began)}
		}()
	}
	if !until(2*time.Second, func() bool { return len(my[0].after(r.began)) >= 1 && len(pg[0].after(r.began)) >= 1 }) {
		r.note("not all orders have reached their primaries: %d, %d", len(my[0].after(r.began)), len(pg[0].after(r.began)))
	}
	sent := time.Now()
	if r.trouble {
		r.note("SIGTERM to the gateway; SIGKILL may follow 3.7 s later at the earliest, and does not come")
		gateway.signal(syscall.SIGTERM)
	}
	for range 2 * n {
		e := <-ends
		r.note("%s %s: %q, %v, %.2f s after it was sent, %.2f s after SIGTERM", e.front, e.id, e.got, e.err, e.after.Seconds(), time.Since(sent).Seconds())
		if e.err != nil {
			r.breach("order %s on the %s front was taken and at its primary; the gateway ended by itself and gave it no answer", e.id, e.front)
		}
	}
	return nil
}
