package store

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/frame"
)

const (
	// maxConcurrentCalls calls are handled concurrently; further ones are refused and retried. Each waits for a
	// majority, and a burst of reports of 2,400 gateways arrives through a few voters.
	maxConcurrentCalls = 1024
	// maxConnections each inbound and outbound: twice the planned fleet of 2,400 instances, with room for commands.
	maxConnections = 5000
	dialTimeout    = time.Second
)

// Caller sends a call to another instance's service. After an error other than ErrUnavailable, the call may have
// arrived.
type Caller interface {
	Call(service string, c *pb.Call, limit time.Duration) (*pb.Reply, error)
}

// service handles calls of other instances and sends calls to them, as length-prefixed protobuf frames.
type service struct {
	store     *Store
	net       *netio.Net
	callSlots chan struct{} // one per call that is being handled

	mu          sync.Mutex
	nextID      uint64
	connections map[string]*outboundConn
}

func newService(s *Store) (*service, error) {
	v := &service{store: s, callSlots: make(chan struct{}, maxConcurrentCalls), connections: map[string]*outboundConn{}}
	var err error
	v.net, err = netio.New(netio.Config{Name: "store", Listen: s.cfg.Service, MaxClients: maxConnections, MaxDials: maxConnections,
		MaxWriteBuffer: 2 * (frame.MaxSize + 4), // the longest message, and another one queued behind it
		Accept:         func(c *netio.Conn) netio.Handler { return &inboundConn{v: v, c: c} }})
	if err != nil {
		return nil, err
	}
	return v, nil
}

func (v *service) stop() error {
	v.net.Stop()
	return nil
}

// inboundConn is a connection from another instance.
type inboundConn struct {
	v  *service
	c  *netio.Conn
	in frame.Reader
}

func (i *inboundConn) Connected() {}

func (i *inboundConn) Closed(error) {}

func (i *inboundConn) Data(b []byte) {
	err := i.in.Feed(b, func(m []byte) error {
		c := &pb.Call{}
		if err := proto.Unmarshal(m, c); err != nil {
			return err
		}
		select {
		case i.v.callSlots <- struct{}{}:
		default:
			i.reply(c.Id, &pb.Reply{Refused: "too many calls at once", Retry: true})
			return nil
		}
		go func() { // a call waits for a majority, the poller must not
			defer func() { <-i.v.callSlots }()
			i.reply(c.Id, i.v.store.handleCall(c))
		}()
		return nil
	})
	if err != nil {
		i.v.store.log.WithError(err).Warn("store closed a connection after an invalid message")
		i.c.Close()
	}
}

func (i *inboundConn) reply(id uint64, r *pb.Reply) {
	r.Id = id
	if b, err := frame.Append(nil, r); err == nil {
		_ = i.c.Write(b) // on a broken connection, the caller retries
	}
}

// outboundConn is a connection to another instance.
type outboundConn struct {
	v           *service
	addr        string
	c           *netio.Conn
	in          frame.Reader
	established chan struct{}

	mu      sync.Mutex
	pending map[uint64]chan *pb.Reply
	closed  bool
}

func (o *outboundConn) Connected() { close(o.established) }

func (o *outboundConn) Data(b []byte) {
	err := o.in.Feed(b, func(m []byte) error {
		r := &pb.Reply{}
		if err := proto.Unmarshal(m, r); err != nil {
			return err
		}
		o.mu.Lock()
		ch := o.pending[r.Id]
		delete(o.pending, r.Id)
		o.mu.Unlock()
		if ch != nil {
			ch <- r
		}
		return nil
	})
	if err != nil {
		o.v.mu.Lock() // connect sets c under it
		c := o.c
		o.v.mu.Unlock()
		c.Close()
		o.Closed(err)
	}
}

// Closed ends all pending calls of the connection; their results are unknown.
func (o *outboundConn) Closed(error) {
	o.v.mu.Lock()
	if o.v.connections[o.addr] == o {
		delete(o.v.connections, o.addr)
	}
	o.v.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for id, ch := range o.pending {
		close(ch)
		delete(o.pending, id)
	}
}

// connect returns the connection to an address, a new one if needed.
func (v *service) connect(addr string) (*outboundConn, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o := v.connections[addr]; o != nil {
		return o, nil
	}
	o := &outboundConn{v: v, addr: addr, established: make(chan struct{}), pending: map[uint64]chan *pb.Reply{}}
	c, err := v.net.Dial(addr, dialTimeout, false, o)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	o.c = c
	v.connections[addr] = o
	return o, nil
}

// Call sends one call and waits for its reply.
func (v *service) Call(addr string, c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	o, err := v.connect(addr)
	if err != nil {
		return nil, err
	}
	ch := make(chan *pb.Reply, 1)
	v.mu.Lock()
	v.nextID++
	id := v.nextID
	v.mu.Unlock()
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return nil, ErrUnavailable
	}
	o.pending[id] = ch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.pending, id)
		o.mu.Unlock()
	}()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-o.established:
	case <-ch: // closed: the connection was not established
		return nil, ErrUnavailable
	case <-t.C:
		return nil, ErrUnavailable
	case <-v.store.done:
		return nil, ErrUnavailable
	}
	c.Id = id
	b, err := frame.Append(nil, c)
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	if err := o.c.Write(b); err != nil {
		return nil, ErrUnavailable // the call was not sent completely
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return nil, ErrUnknown
		}
		return r, nil
	case <-t.C:
		o.c.Close() // an unresponsive peer: the next call opens a new connection
		o.Closed(ErrUnknown)
		return nil, ErrUnknown
	case <-v.store.done:
		return nil, ErrUnknown
	}
}
