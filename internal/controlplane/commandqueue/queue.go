// Package commandqueue carries commands to where they are agreed on, in batches: one batch at a time, each command under
// its own number, so that a batch that arrives twice is applied once.
package commandqueue

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// The errors that callers tell apart. Only after ErrUnknown may a command have been carried out.
var (
	ErrBusy        = errors.New("store: too many commands wait")
	ErrUnavailable = errors.New("store: no leader could be reached; nothing was done")
	ErrUnknown     = errors.New("store: no answer in time; it may have been done")
	ErrClosed      = errors.New("store: closed")
)

const (
	// MaxBatch is the number of commands in one batch: as many as results that the catalog remembers.
	MaxBatch = 64
	// MinRetryDelay and MaxRetryDelay bound the wait before a batch is tried again.
	MinRetryDelay = 10 * time.Millisecond
	MaxRetryDelay = 400 * time.Millisecond

	maxSubmitted  = 1024            // commands whose callers wait; further ones get ErrBusy
	maxOffers     = 4096            // commands that nobody waits for, by key; further keys are dropped: they come again
	maxBatchBytes = 512 << 10       // of one batch, from which on no more are added
	batchTimeout  = 5 * time.Second // a batch that found no leader by then is given up, and the next has its turn
)

// SubmitFunc takes a batch to where it is agreed on. mayHaveRun: the batch may be agreed on in spite of the error.
type SubmitFunc func(*pb.Batch) (results []*pb.Result, mayHaveRun bool, err error)

// entry is one command in the queue.
type entry struct {
	command *pb.Command
	done    chan struct{} // nil: nobody waits
	result  *pb.Result
	err     error
}

// Queue holds commands until they are carried out. Its methods may be called from any goroutine.
type Queue struct {
	origin      string
	submitBatch SubmitFunc
	stop        <-chan struct{}
	wake        chan struct{}

	mu        sync.Mutex
	sequence  uint64
	submitted []*entry // of callers that wait
	offerKeys []string // of offers, in order
	offers    map[string]*pb.Command
	closed    bool
}

// New makes a queue that ends when end is closed. origin names the sender of its commands: no two queues share one.
func New(origin string, carry SubmitFunc, end <-chan struct{}) *Queue {
	return &Queue{origin: origin, submitBatch: carry, stop: end, wake: make(chan struct{}, 1), offers: map[string]*pb.Command{}}
}

// Offer has a command carried out some time; a later one with the same key takes the place of one that still waits.
func (q *Queue) Offer(key string, c *pb.Command) {
	q.mu.Lock()
	_, waits := q.offers[key]
	if !waits && len(q.offers) < maxOffers {
		q.offerKeys = append(q.offerKeys, key)
		q.offers[key] = c
	} else if waits {
		q.offers[key] = c
	}
	q.mu.Unlock()
	q.notify()
}

// Submit has a command carried out and waits for its result. A queue that is full returns ErrBusy at once.
func (q *Queue) Submit(c *pb.Command, limit time.Duration) (*pb.Result, error) {
	e := &entry{command: proto.Clone(c).(*pb.Command), done: make(chan struct{})}
	if err := q.enqueue(e); err != nil {
		return nil, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.done:
		return e.result, e.err
	case <-timer.C:
	case <-q.stop:
	}
	if q.withdraw(e) {
		return nil, ErrUnavailable
	}
	return nil, ErrUnknown
}

// Queued is the number of commands that no batch has taken up.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.submitted) + len(q.offers)
}

// Run carries batches until the queue's end. Callers that wait then get ErrClosed.
func (q *Queue) Run() {
	for {
		entries, b := q.nextBatch()
		if len(entries) > 0 {
			q.deliverBatch(entries, b)
			continue
		}
		select {
		case <-q.stop:
			q.close()
			return
		case <-q.wake:
		}
	}
}

func (q *Queue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) enqueue(e *entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	if len(q.submitted) >= maxSubmitted {
		return ErrBusy
	}
	q.submitted = append(q.submitted, e)
	q.notify()
	return nil
}

// withdraw removes a command that has not been taken up; then it cannot run.
func (q *Queue) withdraw(e *entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.submitted {
		if other == e {
			q.submitted = append(q.submitted[:i], q.submitted[i+1:]...)
			return true
		}
	}
	return false
}

// nextBatch forms the next batch: commands that somebody waits for first.
func (q *Queue) nextBatch() (entries []*entry, b *pb.Batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b = &pb.Batch{}
	size := 0
	add := func(e *entry) {
		q.sequence++
		e.command.Origin, e.command.Seq = q.origin, q.sequence
		if e.command.Kind == 0 {
			e.command.Kind = catalog.CommandKind(e.command)
		}
		size += proto.Size(e.command)
		entries, b.Commands = append(entries, e), append(b.Commands, e.command)
	}
	for len(q.submitted) > 0 && len(entries) < MaxBatch && size < maxBatchBytes {
		add(q.submitted[0])
		q.submitted = q.submitted[1:]
	}
	for len(q.offerKeys) > 0 && len(entries) < MaxBatch && size < maxBatchBytes {
		key := q.offerKeys[0]
		q.offerKeys = q.offerKeys[1:]
		add(&entry{command: q.offers[key]})
		delete(q.offers, key)
	}
	return entries, b
}

// deliverBatch carries a batch and hands out its results.
func (q *Queue) deliverBatch(entries []*entry, b *pb.Batch) {
	results, err := q.submitWithRetry(b)
	for i, e := range entries {
		if e.err = err; err == nil {
			e.result = results[i]
		}
		if e.done != nil {
			close(e.done)
		}
	}
}

// submitWithRetry repeats a batch until it is answered, for a while. What may have run once stays in doubt.
func (q *Queue) submitWithRetry(b *pb.Batch) ([]*pb.Result, error) {
	doubt := ErrUnavailable
	for end, delay := time.Now().Add(batchTimeout), MinRetryDelay; ; delay = min(2*delay, MaxRetryDelay) {
		results, mayHaveRun, err := q.submitBatch(b)
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
		case <-q.stop:
			return nil, doubt
		case <-time.After(delay/2 + rand.N(delay)): // instances must not come back all at once
		}
	}
}

func (q *Queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, e := range q.submitted {
		e.err = ErrClosed
		close(e.done)
	}
	q.submitted = nil
}
