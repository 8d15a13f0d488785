package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	discoveryBeat = 2 * time.Second // an empty line, while nothing changes
	noticePoll    = 10 * time.Millisecond
)

// entry is a database in the list of discovery.
type entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Recovery    string  `json:"recovery"`
}

type listMessage struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
)

// change is one version of a database's entry.
type change struct {
	generation int
	database   int
	lifecycle  string
	startedAt  time.Time
	recovery   string
	madeAt     time.Time
}

// notice is what a gateway was told of a database, and when.
type notice struct {
	change
	at time.Time
}

// discovery tells each gateway, at an address of its own, of the databases.
type discovery struct {
	databases []*database
	listeners []net.Listener
	servers   []*http.Server
	addresses []string

	mu      sync.Mutex
	changes []change
	told    [][]notice      // by gateway
	down    time.Time       // no answers until then
	late    []time.Duration // by gateway: how late changes are written

}

func newDiscovery(databases []*database, gateways int, listenAddress string) (*discovery, error) {
	d := &discovery{databases: databases, told: make([][]notice, gateways), late: make([]time.Duration, gateways)}
	for _, db := range databases {
		d.list(db, inService)
	}
	for g := range gateways {
		l, err := net.Listen("tcp", listenAddress)
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: d.handler(g)}
		d.listeners, d.servers, d.addresses = append(d.listeners, l), append(d.servers, s), append(d.addresses, l.Addr().String())
		go func() { _ = s.Serve(l) }()
	}
	return d, nil
}

func (d *discovery) stop() {
	for _, s := range d.servers {
		s.Close()
	}
}

// list makes a database's entry known as it is now.
func (d *discovery) list(db *database, lifecycle string) {
	c := change{database: db.index, lifecycle: lifecycle, recovery: "on", madeAt: time.Now()}
	db.mu.Lock() // before the lock of discovery, as toldStart is called with it
	c.startedAt = db.startedAt
	if db.primary {
		c.recovery = "off"
	}
	db.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	c.generation = len(d.changes) + 1
	d.changes = append(d.changes, c)
}

// goDown lets all calls and watches end, and refuses new ones for a while.
func (d *discovery) goDown(duration time.Duration) {
	d.mu.Lock()
	d.down = time.Now().Add(duration)
	d.mu.Unlock()
}

func (d *discovery) setLate(gateway int, delay time.Duration) {
	d.mu.Lock()
	d.late[gateway] = delay
	d.mu.Unlock()
}

func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.down)
}

// after returns the changes after a generation that are due at a gateway.
func (d *discovery) after(gateway, generation int) (due []change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.changes {
		if c.generation > generation && time.Since(c.madeAt) >= d.late[gateway] {
			due = append(due, c)
		}
	}
	return due
}

func (d *discovery) entry(gateway int, c change) entry {
	db := d.databases[c.database]
	e := entry{InstanceID: db.id, HostPort: db.ports[gateway].address, Zone: zones[db.zone], Cell: db.group, Lifecycle: c.lifecycle, Weight: 1,
		Recovery: c.recovery}
	if !c.startedAt.IsZero() {
		e.StartedAtMs = c.startedAt.UnixMilli()
	}
	return e
}

// whole returns the complete list as a gateway may know it now.
func (d *discovery) whole(gateway int) listMessage {
	latest := map[int]change{}
	l := listMessage{Reset: true}
	for _, c := range d.after(gateway, 0) {
		latest[c.database], l.Generation = c, c.generation
	}
	for i := range d.databases {
		if c, ok := latest[i]; ok && c.lifecycle != terminated {
			l.Instances = append(l.Instances, d.entry(gateway, c))
		}
	}
	return l
}

// noteTold records that a gateway knows these changes from now on.
func (d *discovery) noteTold(gateway int, changes []change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		d.told[gateway] = append(d.told[gateway], notice{c, time.Now()})
	}
}

// toldStart reports whether a gateway has been told of the present start of a database. The caller holds the database's lock.
func (d *discovery) toldStart(db *database, gateway int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.told[gateway]) - 1; i >= 0; i-- {
		if n := d.told[gateway][i]; n.database == db.index && n.startedAt.Equal(db.startedAt) {
			return true
		}
	}
	return false
}

func (d *discovery) handler(gateway int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isDown() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Get("stream") == "" {
			d.write(w, gateway, d.whole(gateway), d.after(gateway, 0))
			return
		}
		index, err := strconv.Atoi(r.URL.Query().Get("index"))
		if err != nil {
			http.Error(w, "index", http.StatusBadRequest)
			return
		}
		d.stream(w, r, gateway, index)
	})
}

func (d *discovery) write(w http.ResponseWriter, gateway int, l listMessage, changes []change) bool {
	b, err := json.Marshal(l)
	if err != nil {
		return false
	}
	d.noteTold(gateway, changes)
	_, err = fmt.Fprintf(w, "%s\n", b)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return err == nil
}

// stream keeps a watch open until discovery goes down or the gateway leaves.
func (d *discovery) stream(w http.ResponseWriter, r *http.Request, gateway, index int) {
	lastWrite := time.Time{}
	for r.Context().Err() == nil {
		if d.isDown() {
			panic(http.ErrAbortHandler) // resets the connection
		}
		if changes := d.after(gateway, index); len(changes) > 0 {
			l := listMessage{Generation: changes[len(changes)-1].generation}
			for _, c := range changes {
				l.Instances = append(l.Instances, d.entry(gateway, c))
			}
			l.Instances = latestEntries(l.Instances)
			if !d.write(w, gateway, l, changes) {
				return
			}
			index, lastWrite = l.Generation, time.Now()
		} else if time.Since(lastWrite) >= discoveryBeat {
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			lastWrite = time.Now()
		}
		time.Sleep(noticePoll)
	}
}

// latestEntries keeps the last entry of each database.
func latestEntries(all []entry) (out []entry) {
	last := map[string]int{}
	for i, e := range all {
		last[e.InstanceID] = i
	}
	for i, e := range all {
		if last[e.InstanceID] == i {
			out = append(out, e)
		}
	}
	return out
}
