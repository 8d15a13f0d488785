package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline: one client sends a long report and 99 short reads at once on its connection, all within the protocol: each value has
// 64 KiB. With TROUBLE=0 it sends the same, each command after the answer to the one before.
func pipeline(r *run) error {
	value := strings.Repeat("v", 64<<10)
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
			if strings.Contains(s.sql, "'small'") {
				return answer{after: 5 * time.Millisecond, value: value[:500]}
			}
			return answer{after: 50 * time.Millisecond, value: value}
		}
		dbs = append(dbs, d)
	}
	_, listen, err := r.startGateway(dbs, 96, 512, "")
	if err != nil {
		return err
	}
	// Some calm traffic first.
	for i := range 10 {
		c, err := dialPG(listen)
		if err != nil {
			return err
		}
		got, code, err := c.ask(fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'small' /* id=calm%d,c=report,d=2000,cluster=1 */", i), 3*time.Second)
		if err != nil || len(got) != 500 {
			r.note("calm read %d: %d bytes, %s, %v", i, len(got), code, err)
		}
		c.conn.Close()
	}
	c, err := dialPG(listen)
	if err != nil {
		return err
	}
	statements := []string{"SELECT payload FROM entries WHERE ref = 'r' /* id=report,c=summary,d=10000,cluster=1 */"}
	for i := range 99 {
		statements = append(statements, fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'a' /* id=read%d,c=report,d=2000,cluster=1 */", i))
	}
	_ = c.conn.SetDeadline(time.Now().Add(30 * time.Second))
	if r.trouble {
		var all []byte
		for _, s := range statements {
			all = append(all, pgQuery(s)...)
			r.note("sent %s", short(s))
		}
		r.note("%d commands at once, %d bytes", len(statements), len(all))
		if _, err := c.conn.Write(all); err != nil {
			return err
		}
	}
	served, refused := 0, 0
	for i, s := range statements {
		if !r.trouble {
			r.note("sent %s", short(s))
			if _, err := c.conn.Write(pgQuery(s)); err != nil {
				return err
			}
		}
		got, code, err := c.result()
		r.note("answered %s: %s %s%s", field(s, "id"), short(got), code, errorText(err))
		if err != nil {
			r.breach("the gateway ended the connection (%v) with %d of %d requests without an answer", err, len(statements)-i, len(statements))
			break
		}
		if code != "" {
			refused++
			r.note("answer %d: %s", i, code)
			continue
		}
		served++
		if i == 0 && got != "report" || i > 0 && got != value {
			r.breach("answer %d is another's", i)
		}
	}
	r.note("%d served, %d refused or failed", served, refused)
	return nil
}
