package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// instance is one daemon of an installation.
type instance struct {
	id, listen, deploy, socket string
	subscribers                string // where a voter serves gateways that subscribe
	proc                       *process
}

const deployInstance = `postgres:
  listen: %s
  inventory: %s
  clients: 100
  links: 100
  classes:
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
  attempts: 10
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
`

// writeInstance writes the deploy file of an instance, with its store section.
func (r *run) writeInstance(id, inventoryFile, store string) (*instance, error) {
	x := &instance{id: id, listen: freeAddress()}
	text := ""
	if inventoryFile != "" {
		text = fmt.Sprintf(deployInstance, x.listen, inventoryFile)
	}
	var err error
	x.deploy, err = r.write(id+"/aspenshed.yaml", text+store+"admin:\n  socket: admin.sock\n")
	x.socket = filepath.Join(filepath.Dir(x.deploy), "admin.sock")
	return x, err
}

// voters writes the deploy files of n instances that form a cluster. Those from fronts on have no front of their own.
func (r *run) voters(inventoryFile string, n, fronts int) (out []*instance, err error) {
	var peers []string
	var stores, streams []string
	for i := range n {
		id, address, service := string(rune('a'+i)), freeAddress(), freeAddress()
		peers = append(peers, fmt.Sprintf("{id: %s, address: %s, service: %s}", id, address, service))
		subscribers := freeAddress()
		streams = append(streams, subscribers)
		stores = append(stores, fmt.Sprintf("store:\n  cluster: review\n  id: %s\n  address: %s\n  service: %s\n  subscribers: %s\n  data_dir: data\n", id, address, service, subscribers))
	}
	for i := range n {
		if i >= fronts {
			inventoryFile = ""
		}
		x, err := r.writeInstance(string(rune('a'+i)), inventoryFile, stores[i]+"  peers: ["+strings.Join(peers, ", ")+"]\n")
		if err != nil {
			return nil, err
		}
		x.subscribers = streams[i]
		out = append(out, x)
	}
	return out, nil
}

func (r *run) serve(x *instance) (err error) {
	x.proc, err = r.start("instance-"+x.id, "exec bin/aspenshed serve --log-level info --deploy "+x.deploy)
	return err
}

// store runs a command of the store at an instance.
func (r *run) store(x *instance, arg ...string) (string, error) {
	return r.command(append(append([]string{"store"}, arg...), "--deploy", x.deploy)...)
}

// status returns fields of an instance's status.
func (r *run) status(x *instance) (out map[string]any) {
	text, err := r.command("store", "status", "--deploy", x.deploy, "--output", "json")
	if err == nil {
		_ = json.Unmarshal([]byte(text), &out)
	}
	return out
}

// read asks an instance for the data of a group, on a new connection.
func (r *run) read(x *instance, group int) (value, code string, err error) {
	c, err := dialPG(x.listen)
	if err != nil {
		return "", "", err
	}
	defer c.conn.Close()
	return c.ask(fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'a' /* id=%s-%d-%d,c=report,d=2000,cluster=%d */", x.id, group, time.Now().UnixNano(), group), 3*time.Second)
}

// load sends reads to an instance, one after the other on one connection, until stop is closed.
func (r *run) load(x *instance, every time.Duration, stop <-chan struct{}) {
	var c *pgClient
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				c.conn.Close()
			}
			return
		case <-time.After(every):
		}
		var err error
		if c == nil {
			if c, err = dialPG(x.listen); err != nil {
				continue
			}
		}
		var code string
		if _, code, err = c.ask(fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'a' /* id=%s%d-%d,c=report,d=2000,cluster=1 */", x.id, i, time.Now().UnixNano()), 3*time.Second); err != nil {
			c.conn.Close()
			c = nil
		}
		if code != "" {
			r.note("%s answered %s", x.id, code)
		}
	}
}
