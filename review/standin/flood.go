package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = runFlood }

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// runFlood has a crowd of clients write orders of 64 KiB, one at a time each, while the primary hangs.
func runFlood(e *env) (verdict, error) {
	memoryMB, sockets := envInt("MEMORY_MB", 64), envInt("SOCKETS", 672)
	clients := envInt("CLIENTS", (sockets-32)*6/10-10)
	dbs, gateway, listen, err := startPlatformGateway(e, memoryMB, sockets)
	if err != nil {
		return notRun, err
	}
	if !e.trouble {
		clients = 20
	}
	if os.Getenv("HANG") != "" {
		dbs[0].work = func(string) time.Duration { return 4 * time.Second }
	}
	var peak atomic.Int64
	stop := make(chan struct{})
	killed := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			anon, _ := memoryOf(gateway.cmd.Process.Pid)
			if int64(anon) > peak.Load() {
				peak.Store(int64(anon))
			}
			if anon > memoryMB<<10 && os.Getenv("NOKILL") == "" {
				e.rec.say("over %d MB: the platform kills the gateway", memoryMB)
				gateway.kill()
				close(killed)
				return
			}
		}
	}()
	var served, refused, failed, lost atomic.Int64
	value := strings.Repeat("9f", 64<<10)
	var wg sync.WaitGroup
	var last atomic.Int64
	end := time.Now().Add(10 * time.Second)
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *pgClient
			for time.Now().Before(end) {
				select {
				case <-killed:
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = pgDial(listen); err != nil {
						c = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := last.Add(1)
				sql := fmt.Sprintf(`INSERT INTO entries (ref, payload) VALUES ('k%d', '\x%s') RETURNING payload /* id=%x,c=order,d=5000,cluster=1 */`, id, value, id)
				if os.Getenv("HALF") != "" {
					m := pgMessage('Q', sql+"\x00")
					m = append(m, pgMessage('Q', strings.Replace(sql, "/* id=", "/* id=a", 1)+"\x00")...)
					_, _ = c.conn.Write(m[:len(m)-10])
					time.Sleep(time.Duration(envInt("HALF", 0)) * time.Millisecond)
					_, _ = c.conn.Write(m[len(m)-10:])
					if r := c.receive(7 * time.Second); r.err != nil {
						e.rec.printf("first   %x %s", id, r)
						lost.Add(1)
						c.conn.Close()
						c = nil
						continue
					}
					r := c.receive(7 * time.Second)
					if r.err != nil {
						lost.Add(1)
						e.rec.printf("second  %x %s", id, r)
						c.conn.Close()
						c = nil
						continue
					}
					served.Add(1)
					continue
				}
				t0 := time.Now()
				r := c.query(sql, 7*time.Second)
				if r.err != nil {
					e.rec.printf("query   %x %s after %v", id, r, time.Since(t0))
				}
				switch {
				case r.err != nil:
					lost.Add(1)
					c.conn.Close()
					c = nil
				case r.code == "":
					served.Add(1)
				case r.code == "53300":
					refused.Add(1)
				default:
					failed.Add(1)
				}
				if os.Getenv("ONCE") != "" {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	close(stop)
	anon, file := memoryOf(gateway.cmd.Process.Pid)
	e.rec.say("%d clients: served %d, refused %d, failed %d, no answer %d", clients, served.Load(), refused.Load(), failed.Load(), lost.Load())
	e.rec.say("peak %d KB of %d MB (now %d, files %d)", peak.Load(), memoryMB, anon, file)
	if peak.Load() > int64(memoryMB)<<10 {
		return broken, nil
	}
	return held, nil
}
