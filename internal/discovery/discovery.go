// Package discovery watches the list of members over HTTP/1.1.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/netio"
)

const (
	dialLimit = 500 * time.Millisecond // a network that is cut says nothing: when it is back, word is due within 2 s
	// silence ends a watch or a call: while nothing changes an empty line comes every 2 s, and discovery turns away
	// what has waited that long. What a silent watch misses counts as told 6 s after it fell silent, so the rest of
	// these is left for the calls of many gateways.
	silence = aspenshed.Nanos(3e9)
	// movedEarly: after a move to another discovery news counts as told 2 s sooner than after a silence.
	movedEarly = aspenshed.Nanos(2e9)
	// soonest and latest are the pauses before an agent is called again: 2 s are left from what it has being told.
	soonest, latest = aspenshed.Nanos(50e6), aspenshed.Nanos(500e6)
	// leastGap lies between two calls where an answer ends as soon as it has told its list: one without a length does.
	leastGap = aspenshed.Nanos(250e6)
	// mostLeft is how many members that left are remembered, so that an old list can't bring them back.
	mostLeft = 4096
	// mostNamed is how many unknown words are logged: each is bad input, and there may be any number of them.
	mostNamed = 64
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

	fault error // a field of the wrong type; the others were read
}

// UnmarshalJSON keeps the good fields of an entry, and so the other entries of its list.
func (x *Instance) UnmarshalJSON(b []byte) error {
	type plain Instance
	x.fault = json.Unmarshal(b, (*plain)(x))
	return nil
}

// Update is a change of the list or the whole of it.
type Update struct {
	List      aspenshed.MemberList
	Addresses map[string]string
}

// Convert reads a list. Zones are numbered as the settings name them. The error names every entry that is not
// understood, with its place; the good part of the list stands beside it. A member of which it is not clear that it
// is up and where takes nothing new: to send it something might break a drain.
func Convert(l List, zones []string) (Update, error) {
	u := Update{List: aspenshed.MemberList{Complete: l.Reset}, Addresses: map[string]string{}}
	var faults []error
	at := map[string]int{}
	for i, x := range l.Instances {
		fault := func(format string, args ...any) {
			faults = append(faults, fmt.Errorf("instances[%d]%s", i, fmt.Sprintf(format, args...)))
		}
		if x.fault != nil {
			fault(": %v", x.fault)
		}
		m := aspenshed.Member{ID: x.ID, Group: x.Cell, Zone: max(slices.Index(zones, x.Zone), 0), Weight: 1,
			Primary: x.Recovery == "off"}
		if x.Weight != nil && *x.Weight > 0 {
			m.Weight = *x.Weight
		}
		if x.StartedAtMs > 0 {
			m.StartedAt = eventloop.UnixMs(x.StartedAtMs)
		}
		switch x.Lifecycle {
		case "in_service":
			m.State = aspenshed.Up
		case "terminating":
			m.State = aspenshed.Draining
		case "terminated":
			m.State = aspenshed.Removed
		case "":
			fault(".lifecycle missing: taken as draining")
			m.State = aspenshed.Draining
		default:
			faults = append(faults, Unknown{fmt.Sprintf("instances[%d].lifecycle", i), x.Lifecycle})
			m.State = aspenshed.Draining
		}
		if x.ID == "" {
			fault(": instanceId missing: left out")
			continue
		}
		if x.HostPort == "" && m.State == aspenshed.Up {
			fault(".hostPort missing: taken as draining")
			m.State = aspenshed.Draining
		}
		if first, twice := at[x.ID]; twice {
			fault(".instanceId: %q stands there already: what takes less of the two counts", x.ID)
			if old := &u.List.Members[first]; m.State > old.State {
				old.State = m.State
			}
			continue
		}
		at[x.ID] = len(u.List.Members)
		u.List.Members = append(u.List.Members, m)
		u.Addresses[x.ID] = x.HostPort
	}
	return u, errors.Join(faults...)
}

// Unknown is a fault in which a word stands that this release does not know: a newer one may. Nothing else is wrong.
type Unknown struct{ Place, Word string }

func (u Unknown) Error() string {
	return fmt.Sprintf("%s: unknown value %q: taken as draining", u.Place, u.Word)
}

// Bad is what of a list's faults stops a start: all but words that this release does not know.
func Bad(err error) error {
	var bad []error
	for _, e := range each(err) {
		if !errors.As(e, &Unknown{}) {
			bad = append(bad, e)
		}
	}
	return errors.Join(bad...)
}

// each takes the faults of a list apart.
func each(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return nil
}

// Watcher keeps one watch. Its methods run on the loop.
type Watcher struct {
	Loop    *eventloop.Loop
	Log     *logrus.Entry
	Net     *netio.Net
	Address string
	Zones   []string
	Index   int64 // the version that the gateway has
	Changed func(Update)
	Broke   func(aspenshed.DiscoveryFailed)
	// Keep: lists are pushed. An agent on this machine has them at no cost, and what it has counts as told: the watch
	// is opened at once, and again whenever it breaks, and nobody else is asked.
	Keep bool

	cur   *watch
	old   *watch          // at the address before, until cur has told something: no gap between the two
	again aspenshed.Nanos // Keep: the pause before the next call, while they fail
	left  map[string]left
	order []string        // of left, the oldest first
	named map[string]bool // unknown words that were logged
}

var errSilent = errors.New("silent for too long")

type watch struct {
	w       *Watcher
	conn    *netio.Conn
	in      response
	timer   *eventloop.Timer
	version int64           // that it last told
	heard   aspenshed.Nanos // when it last told anything, though it were that nothing had changed; before that when it was begun
	began   aspenshed.Nanos
	moved   aspenshed.Nanos // when the configuration named its address; 0: it did at the start
	up      bool            // the call came there
	told    bool
	over    bool
}

// Move watches at another address from now on. The watch at the old one is heard until the new one has told something.
func (w *Watcher) Move(address string) {
	if address == w.Address {
		return
	}
	w.Address = address
	if w.cur != nil && w.cur.told {
		if w.old != nil {
			w.old.end()
		}
		w.old, w.cur = w.cur, nil
	} else if w.cur != nil {
		w.cur.end()
	}
	w.Watch()
	if w.cur != nil {
		w.cur.moved = w.Loop.Now()
	}
}

// Watch begins a watch, unless there is one. A call under way is left to its end, which silence bounds: one planned before
// a move would lose the place that the new call has in discovery's turn, and with it the word on when its news binds.
func (w *Watcher) Watch() {
	if w.cur != nil {
		return
	}
	x := &watch{w: w}
	conn, err := w.Net.Dial(w.Address, dialLimit, true, x)
	if err != nil {
		w.Loop.Post(func() { x.broke(err) })
		return
	}
	x.conn, w.cur, x.began = conn, x, w.Loop.Now()
	w.Log.WithFields(logrus.Fields{"discovery": w.Address, "version": w.Index}).Debug("discovery asked")
	x.alive()
}

func (x *watch) alive() {
	x.w.Loop.Stop(x.timer)
	x.heard = x.w.Loop.Now()
	x.timer = x.w.Loop.At(x.heard+silence, func() { x.broke(errSilent) })
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
	w := x.w
	w.Log.WithError(err).WithFields(logrus.Fields{"told": x.told, "reached": x.up}).Warn("discovery watch broke")
	if !w.Keep {
		b := aspenshed.DiscoveryFailed{Unreachable: !x.up}
		if x.told || x.up && err == errSilent { // else discovery itself has turned the call down
			b.LastHeard = x.heard
		}
		if x.moved > 0 {
			b.LastHeard = x.moved - movedEarly
		}
		if next := x.began + leastGap; x.told && w.Loop.Now() < next {
			w.Loop.At(next, func() { w.Broke(b) })
		} else {
			w.Broke(b)
		}
		return
	}
	if w.again = min(max(2*w.again, soonest), latest); x.told {
		w.again = soonest
	}
	w.Loop.At(w.Loop.Now()+w.again, w.Watch)
}

// Up asks.
func (x *watch) Up() {
	x.w.Loop.Post(func() {
		x.up = true
		_ = x.conn.Write([]byte("GET /v1/servers?stream=1&index=" + strconv.FormatInt(x.w.Index, 10) +
			" HTTP/1.1\r\nHost: " + x.w.Address + "\r\nAccept: application/json\r\n\r\n"))
	})
}

// Data parses what came and posts it.
func (x *watch) Data(b []byte) {
	err := x.in.feed(b, func(value []byte) error {
		var l List
		if len(value) > 0 {
			if err := json.Unmarshal(value, &l); err != nil {
				return err
			}
		}
		u, faults := Convert(l, x.w.Zones)
		x.w.Loop.Post(func() { x.line(l.Generation, u, faults, len(value) == 0) })
		return nil
	})
	if err != nil {
		x.Closed(err)
	}
}

// Closed ends the watch.
func (x *watch) Closed(err error) { x.w.Loop.Post(func() { x.broke(err) }) }

func (x *watch) line(version int64, u Update, faults error, empty bool) {
	w := x.w
	if x.over {
		return
	}
	x.alive()
	if empty && x.told {
		return
	}
	if x.told, x.moved = true, 0; x == w.cur && w.old != nil {
		w.old.end()
	}
	if !empty { // an empty line first: nothing has changed since
		w.told(version, u, faults)
		if !u.List.Complete && version < w.Index && version >= x.version {
			return // known already, from the other of two watches
		}
		w.Index, x.version = version, version
		w.leaving(version, &u)
	}
	u.List.Cached = x == w.old // it may be behind, and the call that is planned to the new address stands
	w.Changed(u)
}

// told logs a list: what was not understood always, and at debug who is up and who leaves.
func (w *Watcher) told(version int64, u Update, faults error) {
	log := w.Log.WithField("version", version)
	w.Report(log, faults)
	if w.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		var up, off []string
		for _, m := range u.List.Members {
			if m.State == aspenshed.Up {
				up = append(up, m.ID)
			} else {
				off = append(off, m.ID)
			}
		}
		log.WithFields(logrus.Fields{"whole": u.List.Complete, "up": strings.Join(up, " "), "leaving": strings.Join(off, " ")}).Debug("discovery told")
	}
}

// Report logs what was not understood of a list. An unknown word is named once.
func (w *Watcher) Report(log *logrus.Entry, faults error) {
	var news []error
	for _, e := range each(faults) {
		var u Unknown
		if errors.As(e, &u) {
			if w.named[u.Word] || len(w.named) >= mostNamed {
				continue
			}
			if w.named == nil {
				w.named = map[string]bool{}
			}
			w.named[u.Word] = true
		}
		news = append(news, e)
	}
	if len(news) > 0 {
		log.WithError(errors.Join(news...)).Warn("discovery names members that are not understood")
	}
}

// leaving guards drains against discovery that is behind, as after a move or its own restart: who was told to leave by
// a newer list stays so, until it starts anew. Who is gone is remembered for as long as that takes, within a bound.
func (w *Watcher) leaving(version int64, u *Update) {
	for i := range u.List.Members {
		m := &u.List.Members[i]
		l, known := w.left[m.ID]
		switch {
		case m.State != aspenshed.Up:
			if w.left == nil {
				w.left = map[string]left{}
			}
			if w.left[m.ID] = (left{max(version, l.version), max(m.StartedAt, l.start), max(m.State, l.state)}); !known {
				w.order = append(w.order, m.ID)
			}
		case known && version < l.version && m.StartedAt <= l.start:
			m.State = l.state
		}
	}
	for len(w.order) > mostLeft {
		delete(w.left, w.order[0])
		w.order = w.order[1:]
	}
}

// left is a member that some list has told to leave.
type left struct {
	version int64 // of the newest list that did
	start   aspenshed.Nanos
	state   aspenshed.MemberState
}
