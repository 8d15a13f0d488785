package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/subscriber"
	"aspenshed/internal/netio"
)

// Administration uses a local socket that only the daemon's own user can open. A request and its response are one line
// of JSON each.

const (
	maxAdminClients = 16
	maxAdminLine    = 256 << 10
	adminTimeout    = 15 * time.Second
	rolloutTimeout  = 3 * time.Second // for the other voters to respond: an unreachable one must not hide the others' counts
)

// AdminRequest is one request to the administration socket.
type AdminRequest struct {
	Command   string `json:"do"`
	Key       string `json:"key,omitempty"` // the argument: a key, member, instance, path or address
	Value     string `json:"value,omitempty"`
	Base      uint64 `json:"base,omitempty"`
	CheckBase bool   `json:"check,omitempty"`  // put only if the current version is Base
	Latest    bool   `json:"latest,omitempty"` // read from the leader, not this instance's copy
	// Revision is that of a rollout; 0: the newest.
	Revision uint64 `json:"revision,omitempty"`
}

// AdminResponse is the response to an AdminRequest.
type AdminResponse struct {
	Error string          `json:"error,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
}

type admin struct {
	daemon *Daemon
	net    *netio.Net
	path   string
}

func newAdmin(d *Daemon, path string) (*admin, error) {
	a := &admin{daemon: d, path: path}
	var err error
	a.net, err = netio.New(netio.Config{Name: "admin", Listen: "unix:" + path, MaxClients: maxAdminClients,
		Accept: func(c *netio.Conn) netio.Handler { return &adminConn{admin: a, conn: c} }})
	if err != nil {
		return nil, fmt.Errorf("field admin.socket: %w", err)
	}
	return a, nil
}

func (a *admin) stop() {
	a.net.Stop()
	_ = os.Remove(a.path)
}

// adminConn is one connection to the administration socket.
type adminConn struct {
	admin  *admin
	conn   *netio.Conn
	buffer []byte
}

func (x *adminConn) Connected() {}

func (x *adminConn) Closed(error) {}

func (x *adminConn) Data(b []byte) {
	x.buffer = append(x.buffer, b...)
	end := bytes.IndexByte(x.buffer, '\n')
	if end < 0 {
		if len(x.buffer) > maxAdminLine {
			x.conn.Close()
		}
		return
	}
	line := x.buffer[:end]
	x.buffer = nil
	go func() { // it may wait for a majority, which the poller must not
		var q AdminRequest
		var out AdminResponse
		err := json.Unmarshal(line, &q)
		if err == nil {
			var data any
			if data, err = x.admin.handle(q); err == nil {
				out.Data, err = json.Marshal(data)
			}
		}
		if err != nil {
			out = AdminResponse{Error: err.Error()}
		}
		b, _ := json.Marshal(out) // never fails: it holds only strings and JSON
		_ = x.conn.Write(append(b, '\n'))
	}()
}

// voterOnly lists the commands that a subscriber cannot serve.
var voterOnly = []string{"rollout", "join", "leave", "save", "restore"}

func (a *admin) handle(q AdminRequest) (any, error) {
	st := a.daemon.Store
	if st == nil && slices.Contains(voterOnly, q.Command) {
		return nil, subscriber.ErrNotVoter
	}
	switch q.Command {
	case "status":
		return a.daemon.Status(), nil
	case "members":
		return a.daemon.Members(), nil
	case "metrics":
		return a.daemon.Metrics()
	case "rollout":
		return st.Rollout(q.Revision, rolloutTimeout)
	case "get":
		return a.get(q)
	case "put":
		return a.submit(&pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: q.Key, Value: []byte(q.Value), Base: q.Base, Checked: q.CheckBase}}})
	case "drain":
		known := a.daemon.drainLocally(q.Key)
		x, err := a.submit(&pb.Command{Body: &pb.Command_Drain{Drain: &pb.Drain{Member: q.Key, Reason: "the operator's word"}}})
		if err != nil && known {
			err = fmt.Errorf("drained on this instance only; the other instances follow once there is a majority: %w", err)
		}
		return x, err
	case "restart":
		return a.submit(&pb.Command{Body: &pb.Command_Start{Start: &pb.Start{Member: q.Key, Start: int64(a.daemon.loop.Now())}}})
	case "join":
		return a.doneOrError(st.Join(q.Key, adminTimeout))
	case "leave":
		return a.doneOrError(st.RemoveInstance(q.Key, adminTimeout))
	case "save":
		path, err := absolutePath(q.Key)
		if err == nil {
			err = st.Save(path)
		}
		return a.doneOrError(err)
	case "restore":
		path, err := absolutePath(q.Key)
		if err != nil {
			return nil, err
		}
		data, err := os.ReadFile(path)
		if err == nil {
			if err = st.Restore(data); err == nil {
				a.daemon.log.WithFields(logrus.Fields{"file": path}).Warn("store restored by an administrator")
			}
		}
		return a.doneOrError(err)
	}
	return nil, fmt.Errorf("unknown request %q", q.Command)
}

// drainLocally drains a member on this instance before the drain is agreed on, so that a partition does not delay it. A member
// that is in no agreed list is one of the own lists that are in use.
func (d *Daemon) drainLocally(member string) (known bool) {
	wire := ""
	d.control.Store.Read(func(c *catalog.Catalog) {
		if m := c.Member(member); m != nil {
			wire, known = m.Entry.Wire, true
		}
	})
	for _, f := range d.Fronts {
		if wire == "" || f.Wire == wire {
			known = f.agent.Drain(member) || known
		}
	}
	return known
}

type doneResponse struct {
	Done    bool   `json:"done"`
	Version uint64 `json:"version,omitempty"`
}

func (a *admin) doneOrError(err error) (any, error) { return doneResponse{Done: err == nil}, err }

func (a *admin) submit(c *pb.Command) (any, error) {
	r, err := a.daemon.control.Store.Submit(c, adminTimeout)
	if err == nil && r.Refused != "" {
		err = errors.New(r.Refused)
	}
	if err == nil { // wait until this instance has applied the command, which a majority already has
		_ = a.daemon.control.Store.ReadLatest(time.Second, func(*catalog.Catalog) {})
	}
	return doneResponse{err == nil, r.GetVersion()}, err
}

// Pair is a key with its value and version.
type Pair struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

func (a *admin) get(q AdminRequest) (out Pair, err error) {
	found := false
	read := func(c *catalog.Catalog) {
		p := c.Pair(q.Key)
		found, out = p != nil, Pair{q.Key, string(p.GetValue()), p.GetVersion()}
	}
	if q.Latest {
		err = a.daemon.control.Store.ReadLatest(adminTimeout, read)
	} else {
		a.daemon.control.Store.Read(read)
	}
	if err == nil && !found {
		err = fmt.Errorf("no key %q", q.Key)
	}
	return out, err
}

// Member is a member as the store knows it.
type Member struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Wire    string  `json:"wire"`
	Group   int32   `json:"group"`
	State   string  `json:"state"`
	Reason  string  `json:"reason,omitempty"`
	Start   int64   `json:"start_unix_ms"`
	Warmth  string  `json:"warmth"`
	Leased  float64 `json:"leased"`
	Primary bool    `json:"primary"`
}

// Members returns the members that the store knows.
func (d *Daemon) Members() (out []Member) {
	d.control.Store.Read(func(c *catalog.Catalog) {
		groups := c.GroupSummaries()
		for _, m := range c.Members() {
			x := Member{ID: m.Entry.Id, Address: m.Entry.Address, Wire: m.Entry.Wire, Group: m.Entry.Group, State: "in_service",
				Reason: m.DrainReason, Start: m.Start / 1e6, Warmth: "warm", Primary: groups[catalog.GroupOf(m.Entry)].Primary == m.Entry.Id}
			if m.DrainedAt != 0 {
				x.State = "draining"
			}
			if catalog.IsWarming(m) {
				x.Warmth = "cold"
			}
			seen := map[string]bool{}
			for _, l := range m.Leases {
				if !seen[l.Instance] {
					seen[l.Instance] = true
					x.Leased += catalog.OutstandingShare(m, l.Instance)
				}
			}
			out = append(out, x)
		}
	})
	return out
}

// clientNet is the network engine of all clients in this process. It is never stopped, as nbio (v1.6.8) loses a Stop
// that precedes the start of its poller, which would happen where no server responds.
var clientNet = sync.OnceValues(func() (*netio.Net, error) { return netio.New(netio.Config{Name: "ask", MaxDials: 64}) })

// CallAdmin sends a request to the administration socket of a daemon and returns the data of its response.
func CallAdmin(socket string, q AdminRequest) (json.RawMessage, error) {
	n, err := clientNet()
	if err != nil {
		return nil, err
	}
	x := &adminCall{connected: make(chan struct{}), closed: make(chan error, 1), response: make(chan []byte, 1)}
	c, err := n.Dial("unix:"+socket, time.Second, false, x)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	timeout := time.After(2 * adminTimeout)
	select {
	case <-x.connected:
	case err := <-x.closed:
		return nil, fmt.Errorf("no daemon is listening at %s: %w", socket, err)
	case <-timeout:
		return nil, fmt.Errorf("no daemon is listening at %s", socket)
	}
	b, err := json.Marshal(q)
	if err == nil {
		err = c.Write(append(b, '\n'))
	}
	if err != nil {
		return nil, err
	}
	select {
	case line := <-x.response:
		var a AdminResponse
		if err := json.Unmarshal(line, &a); err != nil {
			return nil, err
		}
		if a.Error != "" {
			return nil, errors.New(a.Error)
		}
		return a.Data, nil
	case err := <-x.closed:
		return nil, fmt.Errorf("the daemon closed the connection: %w", err)
	case <-timeout:
		return nil, errors.New("timed out waiting for the response")
	}
}

type adminCall struct {
	connected chan struct{}
	closed    chan error
	response  chan []byte
	buffer    []byte
}

func (x *adminCall) Connected() { close(x.connected) }

func (x *adminCall) Closed(err error) { x.closed <- err }

func (x *adminCall) Data(b []byte) {
	x.buffer = append(x.buffer, b...)
	if end := bytes.IndexByte(x.buffer, '\n'); end >= 0 {
		x.response <- bytes.Clone(x.buffer[:end])
	}
}
