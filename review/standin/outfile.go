package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["outfile"] = runOutfile }

// runOutfile sends a SELECT that writes a file, with a line break before its OUTFILE, and drops the connection of its first
// run (with TROUBLE=0 it drops none). It must run once at most.
func runOutfile(e *env) (verdict, error) {
	listen := freeAddress()
	text := "id,address,site,group,kind,state\n"
	var mu sync.Mutex
	ran := 0
	for i := range 3 {
		m, err := startMyDatabase(e.rec, fmt.Sprintf("my%d", i), i == 0, func(d *myDatabase, sql, _ string) (string, []byte, bool) {
			if !strings.Contains(sql, "OUTFILE") {
				return fields(sql)["k"], nil, false
			}
			mu.Lock()
			defer mu.Unlock()
			ran++
			e.rec.say("run     %s %q", d.name, sql)
			return "ok", nil, e.trouble && ran == 1
		})
		if err != nil {
			return notRun, err
		}
		text += fmt.Sprintf("my%d,%s,east,1,std,in_service\n", i, m.listener.Addr())
	}
	for name, content := range map[string]string{"mysql.csv": text, "accounts.yaml": "web: pass\n", "password": myPassword,
		"aspenshed.yaml": "mysql:\n  listen: " + listen + "\n  accounts: accounts.yaml\n  database: app\n  inventory: mysql.csv\n  clients: 100\n  links: 100\n" +
			"  server: {user: gateway, password_file: password}\n  probe: {role: \"SELECT @@global.read_only\", position: \"\"}\n" +
			"  defaults: {read_class: report, write_class: order, tenant: \"\", group: 1, wait: 2s}\n" + classes +
			"  attempts: 10\n  connect_timeout: 250ms\n  idle_close: 60s\n  client_idle: 10m\n"} {
		if err := os.WriteFile(filepath.Join(e.dir, name), []byte(content), 0o600); err != nil {
			return notRun, err
		}
	}
	if _, err := start(e.dir, "gateway", nil, "serve", "--deploy", filepath.Join(e.dir, "aspenshed.yaml")); err != nil {
		return notRun, err
	}
	var c *myClient
	if !waitFor(10*time.Second, func() (ok bool) {
		var err error
		c, err = myDial(listen)
		return err == nil
	}) {
		return notRun, fmt.Errorf("the gateway is not ready")
	}
	time.Sleep(time.Second)
	r := c.query("SELECT id, seat FROM seats\nINTO\nOUTFILE '/var/lib/export/seats.csv'", 4*time.Second)
	e.rec.say("answer  %s; ran %d times", r, ran)
	if ran > 1 {
		return broken, nil
	}
	return held, nil
}
