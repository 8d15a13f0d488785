// Package discovery watches the member list of a discovery service over HTTP/1.1.
package discovery

import (
	"cmp"
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
	// dialTimeout is short because a partitioned network does not respond: once it is back, updates are due within 2 s.
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout ends a watch or a call: while nothing changes, an empty line comes every 2 s, and discovery
	// rejects calls that have waited that long. Updates that a silent watch misses count as notified 6 s after it fell
	// silent, so the rest of that time is left for the calls of many gateways.
	silenceTimeout = aspenshed.Nanos(3e9)
	// moveGrace: after a change of the address, updates count as notified 2 s sooner than after a silence.
	moveGrace = aspenshed.Nanos(2e9)
	// minRedialPause and maxRedialPause bound the pause before an agent is called again: updates that the agent has are
	// due within 2 s.
	minRedialPause, maxRedialPause = aspenshed.Nanos(50e6), aspenshed.Nanos(500e6)
	// minCallInterval separates two calls when a response ends right after its list, as one without a stated length
	// does.
	minCallInterval = aspenshed.Nanos(250e6)
	// maxLoggedValues bounds the unknown values that are logged: they are bad input and may be arbitrarily many.
	maxLoggedValues = 64
)

// List is a member list as discovery and the configuration encode it.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one member of a List.
type Instance struct {
	ID          string   `json:"instanceId"`
	HostPort    string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"`
	StartedAtMs int64    `json:"startedAtMs"`
	Recovery    string   `json:"recovery"`

	decodeErr   error // a field has the wrong type; the others were decoded
	invalidCell bool  // the cell is not the number of a group
}

// UnmarshalJSON keeps the valid fields of an entry and never fails, so that the rest of the list is decoded, too.
func (x *Instance) UnmarshalJSON(b []byte) error {
	type plain Instance
	x.decodeErr = json.Unmarshal(b, (*plain)(x))
	if x.invalidCell = x.Cell < 0; x.decodeErr != nil { // it names one field only
		var cell struct {
			Number uint32 `json:"cell"`
		}
		x.invalidCell = json.Unmarshal(b, &cell) != nil
	}
	return nil
}

// Convert converts a list. A zone's number is its index in zones. The error joins one error for each invalid entry,
// with its index; the valid part of the list is returned as well. A member whose state, address or group is invalid counts
// as draining, since sending it requests might violate a drain or send them to another group's data.
func Convert(l List, zones []string) (aspenshed.MemberList, error) {
	list := aspenshed.MemberList{Complete: l.Reset}
	var faults []error
	indexes := map[string]int{}
	for i, x := range l.Instances {
		fault := func(format string, args ...any) {
			faults = append(faults, fmt.Errorf("instances[%d]%s", i, fmt.Sprintf(format, args...)))
		}
		if x.decodeErr != nil {
			fault(": %v", x.decodeErr)
		}
		m := aspenshed.Member{ID: x.ID, Address: x.HostPort, Group: x.Cell, Zone: max(slices.Index(zones, x.Zone), 0), Weight: 1,
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
			fault(".lifecycle missing: treated as draining")
			m.State = aspenshed.Draining
		default:
			faults = append(faults, UnknownValueError{fmt.Sprintf("instances[%d].lifecycle", i), x.Lifecycle})
			m.State = aspenshed.Draining
		}
		if x.ID == "" {
			fault(": instanceId missing: ignored")
			continue
		}
		if x.HostPort == "" && m.State == aspenshed.Up {
			fault(".hostPort missing: treated as draining")
			m.State = aspenshed.Draining
		}
		if x.invalidCell && m.State == aspenshed.Up {
			fault(".cell is no group's number: treated as draining")
			m.State = aspenshed.Draining
		}
		if first, exists := indexes[x.ID]; exists {
			fault(".instanceId: %q is a duplicate: the more restrictive state applies", x.ID)
			restrict(&list.Members[first], m)
			continue
		}
		indexes[x.ID] = len(list.Members)
		list.Members = append(list.Members, m)
	}
	return list, errors.Join(faults...)
}

// restrict gives a member the more restrictive of the states in two entries. Entries that name different servers show
// neither.
func restrict(m *aspenshed.Member, duplicate aspenshed.Member) {
	if m.ReplacedBy(duplicate) {
		m.State = max(m.State, aspenshed.Draining)
	}
	m.State = max(m.State, duplicate.State)
}

// UnknownValueError reports a value that this release does not know, though a newer release may.
type UnknownValueError struct{ Field, Value string }

func (u UnknownValueError) Error() string {
	return fmt.Sprintf("%s: unknown value %q: treated as draining", u.Field, u.Value)
}

// StartupFaults returns those faults of a list that prevent a start: all but unknown values.
func StartupFaults(err error) error {
	var bad []error
	for _, e := range splitErrors(err) {
		if !errors.As(e, &UnknownValueError{}) {
			bad = append(bad, e)
		}
	}
	return errors.Join(bad...)
}

// splitErrors returns the errors that were joined.
func splitErrors(err error) []error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()
	}
	return nil
}

// Watcher maintains one watch of the member list. Its methods run on the loop.
type Watcher struct {
	Loop     *eventloop.Loop
	Log      *logrus.Entry
	Net      *netio.Net
	Address  string
	Zones    []string
	Version  int64 // the list version that the gateway has
	OnUpdate func(aspenshed.MemberList)
	OnBreak  func(aspenshed.DiscoveryFailed)
	// Pushed is set where lists are pushed to an agent on this machine. Updates that the agent has count as notified,
	// so the watch is opened immediately and reopened whenever it fails, without calling OnBreak.
	Pushed bool

	dialLimit    time.Duration // for a test on a busy machine; 0: dialTimeout
	current      *watch
	previous     *watch          // at the former address, until current has received something, to leave no gap
	redialPause  aspenshed.Nanos // if Pushed: the pause before the next call while calls fail
	history      history
	loggedValues map[string]bool // unknown values that were logged
}

var errSilence = errors.New("no data within the silence timeout")

// watch is one call to discovery that is kept open for updates.
type watch struct {
	watcher   *Watcher
	conn      *netio.Conn
	response  response
	timer     *eventloop.Timer
	version   int64           // of the last list received
	lastHeard aspenshed.Nanos // last-heard time, of a list or an empty line; before the first, the start of the call
	startedAt aspenshed.Nanos
	movedAt   aspenshed.Nanos // when the configuration changed to its address; 0: it had that address at the start
	connected bool            // the connection was established
	gotList   bool
	closed    bool
}

// SetAddress moves the watch to another address. The previous watch stays open until the new one has received
// something.
func (w *Watcher) SetAddress(address string) {
	if address == w.Address {
		return
	}
	w.Address = address
	if w.current != nil && w.current.gotList {
		if w.previous != nil {
			w.previous.stop()
		}
		w.previous, w.current = w.current, nil
	} else if w.current != nil {
		w.current.stop()
	}
	w.Watch()
	if w.current != nil {
		w.current.movedAt = w.Loop.Now()
	}
}

// Watch opens a watch unless one is open. A call in progress is not replaced, as silenceTimeout bounds it: a call that
// was scheduled before a change of the address would take the place of the new call in discovery's queue, and with it
// the time from which its updates bind.
func (w *Watcher) Watch() {
	if w.current != nil {
		return
	}
	x := &watch{watcher: w}
	conn, err := w.Net.Dial(w.Address, cmp.Or(w.dialLimit, dialTimeout), true, x)
	if err != nil {
		w.Loop.Post(func() { x.fail(err) })
		return
	}
	x.conn, w.current, x.startedAt = conn, x, w.Loop.Now()
	w.Log.WithFields(logrus.Fields{"discovery": w.Address, "version": w.Version}).Debug("discovery watch started")
	x.resetTimer()
}

func (x *watch) resetTimer() {
	x.watcher.Loop.StopTimer(x.timer)
	x.lastHeard = x.watcher.Loop.Now()
	x.timer = x.watcher.Loop.At(x.lastHeard+silenceTimeout, func() { x.fail(errSilence) })
}

func (x *watch) stop() {
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
	replaced := x == x.watcher.previous
	if x.stop(); replaced { // expected, as current replaces it
		return
	}
	w := x.watcher
	w.Log.WithError(err).WithFields(logrus.Fields{"told": x.gotList, "reached": x.connected}).Warn("discovery watch failed")
	if !w.Pushed {
		b := aspenshed.DiscoveryFailed{Unreachable: !x.connected}
		if x.gotList || x.connected && err == errSilence { // otherwise discovery has rejected the call
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

// Connected sends the request.
func (x *watch) Connected() {
	x.watcher.Loop.Post(func() {
		x.connected = true
		_ = x.conn.Write([]byte("GET /v1/servers?stream=1&index=" + strconv.FormatInt(x.watcher.Version, 10) +
			" HTTP/1.1\r\nHost: " + x.watcher.Address + "\r\nAccept: application/json\r\n\r\n"))
	})
}

// Data parses received bytes and posts the updates in them to the loop.
func (x *watch) Data(b []byte) {
	err := x.response.feed(b, func(value []byte) error {
		var l List
		if len(value) > 0 {
			if err := json.Unmarshal(value, &l); err != nil {
				return err
			}
		}
		list, faults := Convert(l, x.watcher.Zones)
		x.watcher.Loop.Post(func() { x.handleUpdate(l.Generation, list, faults, len(value) == 0) })
		return nil
	})
	if err != nil {
		x.Closed(err)
	}
}

// Closed handles the end of the connection.
func (x *watch) Closed(err error) { x.watcher.Loop.Post(func() { x.fail(err) }) }

func (x *watch) handleUpdate(version int64, list aspenshed.MemberList, faults error, empty bool) {
	w := x.watcher
	if x.closed {
		return
	}
	x.resetTimer()
	if empty && x.gotList {
		return
	}
	if x.gotList, x.movedAt = true, 0; x == w.current && w.previous != nil {
		w.previous.stop()
	}
	if !empty { // an initial empty line: nothing has changed since Version
		w.logList(version, list, faults)
		if !list.Complete && version < w.Version && version >= x.version {
			return // already known from the other watch
		}
		w.Version, x.version = version, version
		w.history.apply(version, &list)
	}
	list.Cached = x == w.previous // it may be outdated, and the call scheduled to the new address must stay
	w.OnUpdate(list)
}

// logList logs the faults of a list and, at level debug, which members are up and which are leaving.
func (w *Watcher) logList(version int64, list aspenshed.MemberList, faults error) {
	log := w.Log.WithField("version", version)
	w.LogFaults(log, faults)
	if w.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		var up, leaving []string
		for _, m := range list.Members {
			if m.State == aspenshed.Up {
				up = append(up, m.ID)
			} else {
				leaving = append(leaving, m.ID)
			}
		}
		log.WithFields(logrus.Fields{"whole": list.Complete, "up": strings.Join(up, " "),
			"leaving": strings.Join(leaving, " ")}).Debug("discovery told")
	}
}

// LogFaults logs the faults of a list, each unknown value only once.
func (w *Watcher) LogFaults(log *logrus.Entry, faults error) {
	var unlogged []error
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
		unlogged = append(unlogged, e)
	}
	if len(unlogged) > 0 {
		log.WithError(errors.Join(unlogged...)).Warn("discovery list contains invalid members")
	}
}
