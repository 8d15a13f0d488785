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
	dialTimeout = 500 * time.Millisecond // a network that is cut says nothing: when it is back, word is due within 2 s
	// silenceTimeout ends a watch or a call: while nothing changes an empty line comes every 2 s, and discovery turns away
	// what has waited that long. What a silent watch misses counts as told 6 s after it fell silent, so the rest of
	// these is left for the calls of many gateways.
	silenceTimeout = aspenshed.Nanos(3e9)
	// moveGrace: after a move to another discovery news counts as told 2 s sooner than after a silence.
	moveGrace = aspenshed.Nanos(2e9)
	// minRedialPause and maxRedialPause are the pauses before an agent is called again: 2 s are left from what it has being told.
	minRedialPause, maxRedialPause = aspenshed.Nanos(50e6), aspenshed.Nanos(500e6)
	// minCallInterval lies between two calls where an answer ends as soon as it has told its list: one without a length does.
	minCallInterval = aspenshed.Nanos(250e6)
	// maxDepartures is how many members that left are remembered, so that an old list can't bring them back.
	maxDepartures = 4096
	// maxLoggedValues is how many unknown words are logged: each is bad input, and there may be any number of them.
	maxLoggedValues = 64
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

	decodeErr error // a field of the wrong type; the others were read
}

// UnmarshalJSON keeps the good fields of an entry, and so the other entries of its list.
func (x *Instance) UnmarshalJSON(b []byte) error {
	type plain Instance
	x.decodeErr = json.Unmarshal(b, (*plain)(x))
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
		if x.decodeErr != nil {
			fault(": %v", x.decodeErr)
		}
		m := aspenshed.Member{ID: x.ID, Group: x.Cell, Zone: max(slices.Index(zones, x.Zone), 0), Weight: 1,
			Primary: x.Recovery == "off"}
		if x.Weight != nil && *x.Weight > 0 {
			m.Weight = *x.Weight
		}
		if x.StartedAtMs > 0 {
			m.StartedAt = eventloop.FromUnixMillis(x.StartedAtMs)
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
			faults = append(faults, UnknownValueError{fmt.Sprintf("instances[%d].lifecycle", i), x.Lifecycle})
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

// UnknownValueError is a fault in which a word stands that this release does not know: a newer one may. Nothing else is wrong.
type UnknownValueError struct{ Field, Value string }

func (u UnknownValueError) Error() string {
	return fmt.Sprintf("%s: unknown value %q: taken as draining", u.Field, u.Value)
}

// StartupFaults is what of a list's faults stops a start: all but words that this release does not know.
func StartupFaults(err error) error {
	var bad []error
	for _, e := range splitErrors(err) {
		if !errors.As(e, &UnknownValueError{}) {
			bad = append(bad, e)
		}
	}
	return errors.Join(bad...)
}

// splitErrors takes the faults of a list apart.
func splitErrors(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return nil
}

// Watcher keeps one watch. Its methods run on the loop.
type Watcher struct {
	Loop     *eventloop.Loop
	Log      *logrus.Entry
	Net      *netio.Net
	Address  string
	Zones    []string
	Version  int64 // the version that the gateway has
	OnUpdate func(Update)
	OnBreak  func(aspenshed.DiscoveryFailed)
	// Pushed: lists are pushed. An agent on this machine has them at no cost, and what it has counts as told: the watch
	// is opened at once, and again whenever it breaks, and nobody else is asked.
	Pushed bool

	current        *watch
	previous       *watch          // at the address before, until cur has told something: no gap between the two
	redialPause    aspenshed.Nanos // Keep: the pause before the next call, while they fail
	departures     map[string]departure
	departureOrder []string        // of left, the oldest first
	loggedValues   map[string]bool // unknown words that were logged
}

var errSilence = errors.New("silent for too long")

type watch struct {
	watcher   *Watcher
	conn      *netio.Conn
	response  response
	timer     *eventloop.Timer
	version   int64           // that it last told
	lastHeard aspenshed.Nanos // when it last told anything, though it were that nothing had changed; before that when it was begun
	startedAt aspenshed.Nanos
	movedAt   aspenshed.Nanos // when the configuration named its address; 0: it did at the start
	connected bool            // the call came there
	gotList   bool
	closed    bool
}

// SetAddress watches at another address from now on. The watch at the old one is heard until the new one has told something.
func (w *Watcher) SetAddress(address string) {
	if address == w.Address {
		return
	}
	w.Address = address
	if w.current != nil && w.current.gotList {
		if w.previous != nil {
			w.previous.close()
		}
		w.previous, w.current = w.current, nil
	} else if w.current != nil {
		w.current.close()
	}
	w.Watch()
	if w.current != nil {
		w.current.movedAt = w.Loop.Now()
	}
}

// Watch begins a watch, unless there is one. A call under way is left to its end, which silence bounds: one planned before
// a move would lose the place that the new call has in discovery's turn, and with it the word on when its news binds.
func (w *Watcher) Watch() {
	if w.current != nil {
		return
	}
	x := &watch{watcher: w}
	conn, err := w.Net.Dial(w.Address, dialTimeout, true, x)
	if err != nil {
		w.Loop.Post(func() { x.fail(err) })
		return
	}
	x.conn, w.current, x.startedAt = conn, x, w.Loop.Now()
	w.Log.WithFields(logrus.Fields{"discovery": w.Address, "version": w.Version}).Debug("discovery asked")
	x.resetTimer()
}

func (x *watch) resetTimer() {
	x.watcher.Loop.StopTimer(x.timer)
	x.lastHeard = x.watcher.Loop.Now()
	x.timer = x.watcher.Loop.At(x.lastHeard+silenceTimeout, func() { x.fail(errSilence) })
}

func (x *watch) close() {
	x.closed = true
	x.watcher.Loop.StopTimer(x.timer)
	if x.conn != nil {
		x.conn.Close()
	}
	switch x {
	case x.watcher.current:
		x.watcher.current = nil
	case x.watcher.previous:
		x.watcher.previous = nil
	}
}

func (x *watch) fail(err error) {
	if x.closed {
		return
	}
	was := x == x.watcher.previous
	if x.close(); was { // as expected; the new one is on its way
		return
	}
	w := x.watcher
	w.Log.WithError(err).WithFields(logrus.Fields{"told": x.gotList, "reached": x.connected}).Warn("discovery watch broke")
	if !w.Pushed {
		b := aspenshed.DiscoveryFailed{Unreachable: !x.connected}
		if x.gotList || x.connected && err == errSilence { // else discovery itself has turned the call down
			b.LastHeard = x.lastHeard
		}
		if x.movedAt > 0 {
			b.LastHeard = x.movedAt - moveGrace
		}
		if next := x.startedAt + minCallInterval; x.gotList && w.Loop.Now() < next {
			w.Loop.At(next, func() { w.OnBreak(b) })
		} else {
			w.OnBreak(b)
		}
		return
	}
	if w.redialPause = min(max(2*w.redialPause, minRedialPause), maxRedialPause); x.gotList {
		w.redialPause = minRedialPause
	}
	w.Loop.At(w.Loop.Now()+w.redialPause, w.Watch)
}

// Up asks.
func (x *watch) Up() {
	x.watcher.Loop.Post(func() {
		x.connected = true
		_ = x.conn.Write([]byte("GET /v1/servers?stream=1&index=" + strconv.FormatInt(x.watcher.Version, 10) +
			" HTTP/1.1\r\nHost: " + x.watcher.Address + "\r\nAccept: application/json\r\n\r\n"))
	})
}

// Data parses what came and posts it.
func (x *watch) Data(b []byte) {
	err := x.response.feed(b, func(value []byte) error {
		var l List
		if len(value) > 0 {
			if err := json.Unmarshal(value, &l); err != nil {
				return err
			}
		}
		u, faults := Convert(l, x.watcher.Zones)
		x.watcher.Loop.Post(func() { x.handleUpdate(l.Generation, u, faults, len(value) == 0) })
		return nil
	})
	if err != nil {
		x.Closed(err)
	}
}

// Closed ends the watch.
func (x *watch) Closed(err error) { x.watcher.Loop.Post(func() { x.fail(err) }) }

func (x *watch) handleUpdate(version int64, u Update, faults error, empty bool) {
	w := x.watcher
	if x.closed {
		return
	}
	x.resetTimer()
	if empty && x.gotList {
		return
	}
	if x.gotList, x.movedAt = true, 0; x == w.current && w.previous != nil {
		w.previous.close()
	}
	if !empty { // an empty line first: nothing has changed since
		w.logList(version, u, faults)
		if !u.List.Complete && version < w.Version && version >= x.version {
			return // known already, from the other of two watches
		}
		w.Version, x.version = version, version
		w.applyDepartures(version, &u)
	}
	u.List.Cached = x == w.previous // it may be behind, and the call that is planned to the new address stands
	w.OnUpdate(u)
}

// logList logs a list: what was not understood always, and at debug who is up and who leaves.
func (w *Watcher) logList(version int64, u Update, faults error) {
	log := w.Log.WithField("version", version)
	w.LogFaults(log, faults)
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

// LogFaults logs what was not understood of a list. An unknown word is named once.
func (w *Watcher) LogFaults(log *logrus.Entry, faults error) {
	var news []error
	for _, e := range splitErrors(faults) {
		var u UnknownValueError
		if errors.As(e, &u) {
			if w.loggedValues[u.Value] || len(w.loggedValues) >= maxLoggedValues {
				continue
			}
			if w.loggedValues == nil {
				w.loggedValues = map[string]bool{}
			}
			w.loggedValues[u.Value] = true
		}
		news = append(news, e)
	}
	if len(news) > 0 {
		log.WithError(errors.Join(news...)).Warn("discovery names members that are not understood")
	}
}

// applyDepartures guards drains against discovery that is behind, as after a move or its own restart: who was told to leave by
// a newer list stays so, until it starts anew. Who is gone is remembered for as long as that takes, within a bound.
func (w *Watcher) applyDepartures(version int64, u *Update) {
	for i := range u.List.Members {
		m := &u.List.Members[i]
		l, known := w.departures[m.ID]
		switch {
		case m.State != aspenshed.Up:
			if w.departures == nil {
				w.departures = map[string]departure{}
			}
			if w.departures[m.ID] = (departure{max(version, l.version), max(m.StartedAt, l.start), max(m.State, l.state)}); !known {
				w.departureOrder = append(w.departureOrder, m.ID)
			}
		case known && version < l.version && m.StartedAt <= l.start:
			m.State = l.state
		}
	}
	for len(w.departureOrder) > maxDepartures {
		delete(w.departures, w.departureOrder[0])
		w.departureOrder = w.departureOrder[1:]
	}
}

// departure is a member that some list has told to leave.
type departure struct {
	version int64 // of the newest list that did
	start   aspenshed.Nanos
	state   aspenshed.MemberState
}
