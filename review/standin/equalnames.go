package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["equalnames"] = runEqualNames }

// runEqualNames runs a daemon with both fronts, whose inventories use the same ids (with TROUBLE=0 other ones), and sends
// SIGHUP. Reads on both fronts are counted.
func runEqualNames(e *env) (verdict, error) {
	listen, myListen := freeAddress(), freeAddress()
	pgText, myText := "id,address,site,group,kind,state\n", "id,address,site,group,kind,state\n"
	prefix := "my"
	if e.trouble {
		prefix = "db"
	}
	for i := range 3 {
		d, err := startDatabase(e.rec, fmt.Sprintf("pg%d", i), "127.0.0.1:0", i == 0)
		if err != nil {
			return notRun, err
		}
		m, err := startMyDatabase(e.rec, fmt.Sprintf("my%d", i), i == 0, func(_ *myDatabase, sql, _ string) (string, []byte, bool) {
			return fields(sql)["k"], nil, false
		})
		if err != nil {
			return notRun, err
		}
		pgText += fmt.Sprintf("db%d,%s,east,1,std,in_service\n", i, d.address())
		myText += fmt.Sprintf("%s%d,%s,east,1,std,in_service\n", prefix, i, m.listener.Addr())
	}
	mysql := "mysql:\n  listen: " + myListen + "\n  accounts: accounts.yaml\n  database: app\n  inventory: mysql.csv\n  clients: 100\n  links: 100\n" +
		"  server: {user: gateway, password_file: password}\n  probe: {role: \"SELECT @@global.read_only\", position: \"\"}\n" +
		"  defaults: {read_class: report, write_class: order, tenant: \"\", group: 1, wait: 2s}\n" + classes +
		"  attempts: 10\n  connect_timeout: 250ms\n  idle_close: 60s\n  client_idle: 10m\n"
	for name, content := range map[string]string{"members.csv": pgText, "mysql.csv": myText, "accounts.yaml": "web: pass\n", "password": myPassword,
		"aspenshed.yaml": front(listen) + mysql} {
		if err := os.WriteFile(filepath.Join(e.dir, name), []byte(content), 0o600); err != nil {
			return notRun, err
		}
	}
	gateway, err := start(e.dir, "gateway", nil, "serve", "--deploy", filepath.Join(e.dir, "aspenshed.yaml"))
	if err != nil {
		return notRun, err
	}
	if !waitFor(10*time.Second, func() bool { return pgReady(listen) }) {
		return notRun, fmt.Errorf("the gateway is not ready")
	}
	var wg sync.WaitGroup
	counts, lost := map[string]int{}, 0
	var mu sync.Mutex
	end := time.Now().Add(15 * time.Second)
	add := func(s string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(s, "no answer") {
			lost++
		}
		f := strings.Fields(s)
		counts[f[0]+" "+f[1]]++
	}
	for k := range 4 {
		wg.Add(2)
		go func() {
			defer wg.Done()
			c, err := pgDial(listen)
			for i := 0; err == nil && time.Now().Before(end); i++ {
				add("postgres " + c.query(fmt.Sprintf("SELECT 1 /* id=%d%d,c=report,d=2000,cluster=1 */", k, i), 4*time.Second).String())
				time.Sleep(20 * time.Millisecond)
			}
		}()
		go func() {
			defer wg.Done()
			c, err := myDial(myListen)
			for i := 0; err == nil && time.Now().Before(end); i++ {
				add("mysql " + c.query(fmt.Sprintf("SELECT 1 /* k=%d%d */", k, i), 4*time.Second).String())
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	gateway.signal(syscall.SIGHUP)
	wg.Wait()
	e.rec.say("%v", counts)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
