package store

import (
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

const (
	mostWaiting = 1024      // commands whose callers wait; further ones get ErrBusy
	mostOffers  = 4096      // commands that nobody waits for, by key; further keys are dropped: they come again
	batchMost   = 64        // commands of one batch: as many results as the catalog remembers
	batchBytes  = 512 << 10 // of one batch, from which on no more are added
	firstWait   = 10 * time.Millisecond
	lastWait    = 400 * time.Millisecond
	batchLimit  = 5 * time.Second // a batch that found no leader by then is given up, and the next has its turn
)

// waiting command.
type item struct {
	c      *pb.Command
	done   chan struct{} // nil: nobody waits
	result *pb.Result
	err    error
}

// queue carries commands to the leader: one batch at a time, each command under its own number, so that a batch that
// comes twice is applied once.
type queue struct {
	origin string
	carry  func(*pb.Batch) (results []*pb.Result, mayHaveRun bool, err error)
	ctx    chan struct{}
	wake   chan struct{}

	mu     sync.Mutex
	seq    uint64
	urgent []*item
	keys   []string // of offers, in order
	offers map[string]*pb.Command
	closed bool
}

func newQueue(origin string, carry func(*pb.Batch) ([]*pb.Result, bool, error), ctx chan struct{}) *queue {
	return &queue{origin: origin, carry: carry, ctx: ctx, wake: make(chan struct{}, 1), offers: map[string]*pb.Command{}}
}

func (q *queue) poke() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) offer(key string, c *pb.Command) {
	q.mu.Lock()
	if _, waits := q.offers[key]; !waits && len(q.offers) < mostOffers {
		q.keys = append(q.keys, key)
		q.offers[key] = c
	} else if waits {
		q.offers[key] = c
	}
	q.mu.Unlock()
	q.poke()
}

func (q *queue) submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	x := &item{c: proto.Clone(c).(*pb.Command), done: make(chan struct{})}
	q.mu.Lock()
	if q.closed || len(q.urgent) >= mostWaiting {
		closed := q.closed
		q.mu.Unlock()
		if closed {
			return nil, ErrClosed
		}
		return nil, ErrBusy
	}
	q.urgent = append(q.urgent, x)
	q.mu.Unlock()
	q.poke()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-x.done:
		return x.result, x.err
	case <-t.C:
	case <-q.ctx:
	}
	if q.takeBack(x) {
		return nil, ErrUnavailable
	}
	return nil, ErrUnknown
}

// takeBack removes a command that has not been taken up; then it cannot run.
func (q *queue) takeBack(x *item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, y := range q.urgent {
		if y == x {
			q.urgent = append(q.urgent[:i], q.urgent[i+1:]...)
			return true
		}
	}
	return false
}

func (q *queue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.urgent) + len(q.offers)
}

// take forms the next batch: commands that somebody waits for first.
func (q *queue) take() (items []*item, b *pb.Batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b = &pb.Batch{}
	size := 0
	add := func(x *item) {
		q.seq++
		x.c.Origin, x.c.Seq = q.origin, q.seq
		if x.c.Kind == 0 {
			x.c.Kind = kindOf(x.c)
		}
		size += proto.Size(x.c)
		items, b.Commands = append(items, x), append(b.Commands, x.c)
	}
	for len(q.urgent) > 0 && len(items) < batchMost && size < batchBytes {
		add(q.urgent[0])
		q.urgent = q.urgent[1:]
	}
	for len(q.keys) > 0 && len(items) < batchMost && size < batchBytes {
		k := q.keys[0]
		q.keys = q.keys[1:]
		add(&item{c: q.offers[k]})
		delete(q.offers, k)
	}
	return items, b
}

func (q *queue) run() {
	for {
		items, b := q.take()
		if len(items) > 0 {
			results, err := q.push(b)
			for i, x := range items {
				if x.err = err; err == nil {
					x.result = results[i]
				}
				if x.done != nil {
					close(x.done)
				}
			}
			continue
		}
		select {
		case <-q.ctx:
			q.end()
			return
		case <-q.wake:
		}
	}
}

// push repeats a batch until it is answered, for a while. What may have run once stays in doubt.
func (q *queue) push(b *pb.Batch) ([]*pb.Result, error) {
	doubt := ErrUnavailable
	for end, wait := time.Now().Add(batchLimit), firstWait; ; wait = min(2*wait, lastWait) {
		results, mayHaveRun, err := q.carry(b)
		if err == nil && len(results) == len(b.Commands) {
			return results, nil
		}
		if mayHaveRun {
			doubt = ErrUnknown
		}
		if time.Now().After(end) {
			return nil, doubt
		}
		select {
		case <-q.ctx:
			return nil, doubt
		case <-time.After(wait/2 + rand.N(wait)): // instances must not come back all at once
		}
	}
}

func (q *queue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, x := range q.urgent {
		x.err = ErrClosed
		close(x.done)
	}
	q.urgent = nil
}
