// Package discovery watches the list of members over HTTP/1.1.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
	"aspenshed/internal/netio"
)

const (
	dialLimit = time.Second
	// silence ends a watch or a call: while nothing changes an empty line comes every 2 s, and discovery turns away
	// what has waited that long. What a silent watch misses counts as told 6 s after it fell silent, so the rest of
	// these is left for the calls of many gateways.
	silence = nc.Nanos(3e9)
	// movedEarly: after a move to another discovery news counts as told 2 s sooner than after a silence.
	movedEarly = nc.Nanos(2e9)
)

// List is the form that discovery and the configuration give the members in.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one member on the wire.
type Instance struct {
	ID          string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"`
	StartedAtMs int64    `json:"startedAtMs"`
	Recovery    string   `json:"recovery"`
}

// Update is a change of the list or the whole of it.
type Update struct {
	List      nc.MemberList
	Addresses map[string]string
}

// Convert reads a list. Zones are numbered as the settings name them; an entry that cannot be used is an error.
func Convert(l List, zones []string) (Update, error) {
	u := Update{List: nc.MemberList{Whole: l.Reset}, Addresses: map[string]string{}}
	for i, x := range l.Instances {
		m := nc.Member{ID: x.ID, Group: x.Cell, Zone: max(slices.Index(zones, x.Zone), 0), Size: 1,
			Primary: x.Recovery == "off"}
		if x.Weight != nil && *x.Weight > 0 {
			m.Size = *x.Weight
		}
		if x.StartedAtMs > 0 {
			m.StartedAt = core.UnixMs(x.StartedAtMs)
		}
		switch x.Lifecycle {
		case "in_service":
			m.State = nc.Up
		case "terminating":
			m.State = nc.Draining
		case "terminated":
			m.State = nc.Gone
		default:
			return u, fmt.Errorf("instances[%d].lifecycle: unknown value %q", i, x.Lifecycle)
		}
		if x.ID == "" || x.HostPort == "" && m.State != nc.Gone {
			return u, fmt.Errorf("instances[%d]: instanceId or hostPort missing", i)
		}
		u.List.Members = append(u.List.Members, m)
		u.Addresses[x.ID] = x.HostPort
	}
	return u, nil
}

// Watcher keeps one watch. Its methods run on the loop.
type Watcher struct {
	Loop    *core.Loop
	Log     *logrus.Entry
	Net     *netio.Net
	Address string
	Zones   []string
	Index   int64 // the version that the gateway has
	Changed func(Update)
	Broke   func(nc.DiscoveryBroke)

	cur   *watch
	old   *watch   // at the address before, until cur has told something: no gap between the two
	heard nc.Nanos // when a watch last told anything, though it were that nothing had changed
}

type watch struct {
	w     *Watcher
	conn  *netio.Conn
	in    response
	timer *core.Timer
	up    bool // the call came there
	told  bool
	over  bool
}

// Move watches at another address from now on. The watch at the old one is heard until the new one has told something.
func (w *Watcher) Move(address string) {
	if address == w.Address {
		return
	}
	w.Address = address
	w.heard = min(w.heard, w.Loop.Now()-movedEarly)
	if w.cur != nil && w.cur.told {
		if w.old != nil {
			w.old.end()
		}
		w.old, w.cur = w.cur, nil
	}
	w.Watch()
}

// Watch begins a watch, in place of one that has told nothing yet.
func (w *Watcher) Watch() {
	if w.cur != nil {
		if w.cur.told {
			return
		}
		w.cur.end()
	}
	x := &watch{w: w}
	conn, err := w.Net.Dial(w.Address, dialLimit, true, x)
	if err != nil {
		w.Loop.Post(func() { x.broke(err) })
		return
	}
	x.conn, w.cur = conn, x
	x.alive()
}

func (x *watch) alive() {
	x.w.Loop.Stop(x.timer)
	x.timer = x.w.Loop.At(x.w.Loop.Now()+silence, func() { x.broke(errors.New("silent for too long")) })
}

func (x *watch) end() {
	x.over = true
	x.w.Loop.Stop(x.timer)
	if x.conn != nil {
		x.conn.Close()
	}
	switch x {
	case x.w.cur:
		x.w.cur = nil
	case x.w.old:
		x.w.old = nil
	}
}

func (x *watch) broke(err error) {
	if x.over {
		return
	}
	was := x == x.w.old
	if x.end(); was { // as expected; the new one is on its way
		return
	}
	x.w.Log.WithError(err).WithFields(logrus.Fields{"told": x.told, "up": x.up}).Warn("discovery watch broke")
	x.w.Broke(nc.DiscoveryBroke{Heard: x.w.heard, Unreached: !x.up})
}

// Up asks.
func (x *watch) Up() {
	x.w.Loop.Post(func() {
		x.up = true
		_ = x.conn.Write([]byte("GET /v1/servers?stream=1&index=" + strconv.FormatInt(x.w.Index, 10) +
			" HTTP/1.1\r\nHost: " + x.w.Address + "\r\nAccept: application/json\r\n\r\n"))
	})
}

// Data parses lines and posts them.
func (x *watch) Data(b []byte) {
	err := x.in.feed(b, func(line []byte) error {
		var l List
		if len(line) > 0 {
			if err := json.Unmarshal(line, &l); err != nil {
				return err
			}
		}
		u, err := Convert(l, x.w.Zones)
		if err != nil {
			return err
		}
		empty := len(line) == 0
		x.w.Loop.Post(func() { x.line(l.Generation, u, empty) })
		return nil
	})
	if err != nil {
		x.Closed(err)
	}
}

// Closed ends the watch.
func (x *watch) Closed(err error) { x.w.Loop.Post(func() { x.broke(err) }) }

func (x *watch) line(version int64, u Update, empty bool) {
	if x.over {
		return
	}
	if x.alive(); x == x.w.cur {
		x.w.heard = x.w.Loop.Now()
	}
	if empty && x.told {
		return
	}
	if x.told = true; x == x.w.cur && x.w.old != nil {
		x.w.old.end()
	}
	if !empty { // an empty line first: nothing has changed since
		if !u.List.Whole && version < x.w.Index {
			return // known already, from the other of two watches
		}
		x.w.Index = version
	}
	x.w.Changed(u)
}
