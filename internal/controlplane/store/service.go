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
	// maxServed calls are served at once; further ones are told to come again. Each waits for a majority, and a burst
	// of reports of 2,400 gateways comes through a few voters.
	maxServed = 1024
	// maxConnections in, and out: twice as many as instances in the planned fleet of 2,400, with room for commands.
	maxConnections = 5000
	dialLimit      = time.Second
)

// Caller carries a call to another instance's service. An error other than ErrUnavailable means that it may have
// arrived.
type Caller interface {
	Call(service string, c *pb.Call, limit time.Duration) (*pb.Reply, error)
}

// service takes calls of other instances and makes ours, in frames of length and protobuf.
type service struct {
	s     *Store
	net   *netio.Net
	slots chan struct{} // one for each call that is served

	mu   sync.Mutex
	next uint64
	out  map[string]*outgoing
}

func newService(s *Store) (*service, error) {
	v := &service{s: s, slots: make(chan struct{}, maxServed), out: map[string]*outgoing{}}
	var err error
	v.net, err = netio.New(netio.Config{Name: "store", Listen: s.cfg.Service, MaxClients: maxConnections, MaxDials: maxConnections,
		MaxWriteBuffer: 2 * (frame.MaxSize + 4), // the longest message, and another behind it
		Accept:         func(c *netio.Conn) netio.Handler { return &incoming{v: v, c: c} }})
	if err != nil {
		return nil, err
	}
	return v, nil
}

func (v *service) stop() error {
	v.net.Stop()
	return nil
}

// incoming is a connection of another instance.
type incoming struct {
	v  *service
	c  *netio.Conn
	in frame.Reader
}

func (i *incoming) Up() {}

func (i *incoming) Closed(error) {}

func (i *incoming) Data(b []byte) {
	err := i.in.Feed(b, func(m []byte) error {
		c := &pb.Call{}
		if err := proto.Unmarshal(m, c); err != nil {
			return err
		}
		select {
		case i.v.slots <- struct{}{}:
		default:
			i.reply(c.Id, &pb.Reply{Refused: "too many calls at once", Retry: true})
			return nil
		}
		go func() { // it waits for a majority; the poller must not
			defer func() { <-i.v.slots }()
			i.reply(c.Id, i.v.s.answer(c))
		}()
		return nil
	})
	if err != nil {
		i.v.s.log.WithError(err).Warn("store closes a connection that it cannot read")
		i.c.Close()
	}
}

func (i *incoming) reply(id uint64, r *pb.Reply) {
	r.Id = id
	if b, err := frame.Append(nil, r); err == nil {
		_ = i.c.Write(b) // a connection that broke: its caller asks again
	}
}

// outgoing is our connection to another instance.
type outgoing struct {
	v    *service
	addr string
	c    *netio.Conn
	in   frame.Reader
	up   chan struct{}

	mu    sync.Mutex
	waits map[uint64]chan *pb.Reply
	dead  bool
}

func (o *outgoing) Up() { close(o.up) }

func (o *outgoing) Data(b []byte) {
	err := o.in.Feed(b, func(m []byte) error {
		r := &pb.Reply{}
		if err := proto.Unmarshal(m, r); err != nil {
			return err
		}
		o.mu.Lock()
		ch := o.waits[r.Id]
		delete(o.waits, r.Id)
		o.mu.Unlock()
		if ch != nil {
			ch <- r
		}
		return nil
	})
	if err != nil {
		o.v.mu.Lock() // to sets c under it
		c := o.c
		o.v.mu.Unlock()
		c.Close()
		o.Closed(err)
	}
}

// Closed ends all that waits on the connection, in doubt.
func (o *outgoing) Closed(error) {
	o.v.mu.Lock()
	if o.v.out[o.addr] == o {
		delete(o.v.out, o.addr)
	}
	o.v.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dead = true
	for id, ch := range o.waits {
		close(ch)
		delete(o.waits, id)
	}
}

func (v *service) to(addr string) (*outgoing, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o := v.out[addr]; o != nil {
		return o, nil
	}
	o := &outgoing{v: v, addr: addr, up: make(chan struct{}), waits: map[uint64]chan *pb.Reply{}}
	c, err := v.net.Dial(addr, dialLimit, false, o)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	o.c = c
	v.out[addr] = o
	return o, nil
}

// Call sends one call and waits for its reply.
func (v *service) Call(addr string, c *pb.Call, limit time.Duration) (*pb.Reply, error) {
	o, err := v.to(addr)
	if err != nil {
		return nil, err
	}
	ch := make(chan *pb.Reply, 1)
	v.mu.Lock()
	v.next++
	id := v.next
	v.mu.Unlock()
	o.mu.Lock()
	if o.dead {
		o.mu.Unlock()
		return nil, ErrUnavailable
	}
	o.waits[id] = ch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.waits, id)
		o.mu.Unlock()
	}()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-o.up:
	case <-ch: // closed: it never came up
		return nil, ErrUnavailable
	case <-t.C:
		return nil, ErrUnavailable
	case <-v.s.done:
		return nil, ErrUnavailable
	}
	c.Id = id
	b, err := frame.Append(nil, c)
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	if err := o.c.Write(b); err != nil {
		return nil, ErrUnavailable // its last byte never left
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return nil, ErrUnknown
		}
		return r, nil
	case <-t.C:
		o.c.Close() // a peer that says nothing: the next call begins anew
		o.Closed(ErrUnknown)
		return nil, ErrUnknown
	case <-v.s.done:
		return nil, ErrUnknown
	}
}
