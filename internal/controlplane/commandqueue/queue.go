// Package commandqueue submits commands to the replicated log in batches. One batch is in flight at a time and each
// command has a sequence number, so that a batch that arrives twice is applied once.
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

// The errors that callers distinguish. Only after ErrUnknown may a command have been applied.
var (
	ErrBusy        = errors.New("store: too many commands wait")
	ErrUnavailable = errors.New("store: no leader could be reached; nothing was done")
	ErrUnknown     = errors.New("store: no answer in time; it may have been done")
	ErrClosed      = errors.New("store: closed")
)

const (
	// MaxBatch is the maximum number of commands in a batch: the catalog remembers as many results per origin.
	MaxBatch = 64
	// MinRetryDelay and MaxRetryDelay bound the delay before a batch is retried.
	MinRetryDelay = 10 * time.Millisecond
	MaxRetryDelay = 400 * time.Millisecond

	maxSubmitted  = 1024            // commands with waiting callers; further ones get ErrBusy
	maxOffers     = 4096            // keys of offers; further ones are dropped, their callers offer again
	maxBatchBytes = 512 << 10       // size from which no further command is added to a batch
	batchTimeout  = 5 * time.Second // without a leader for this long, a batch is dropped for the next one
)

// SubmitFunc submits a batch to the replicated log. mayHaveRun: the batch may be committed despite the error.
type SubmitFunc func(*pb.Batch) (results []*pb.Result, mayHaveRun bool, err error)

// entry is one queued command.
type entry struct {
	command *pb.Command
	done    chan struct{} // nil: no caller waits
	result  *pb.Result
	err     error
}

// Queue holds commands until they are applied. Its methods are safe for concurrent use.
type Queue struct {
	origin      string
	submitBatch SubmitFunc
	stop        <-chan struct{}
	wake        chan struct{}

	mu        sync.Mutex
	sequence  uint64
	submitted []*entry // with waiting callers
	offerKeys []string // of offers, in order of arrival
	offers    map[string]*pb.Command
	closed    bool
}

// New creates a queue that stops when stop is closed. origin identifies the sender of its commands and must be unique.
func New(origin string, submitBatch SubmitFunc, stop <-chan struct{}) *Queue {
	return &Queue{origin: origin, submitBatch: submitBatch, stop: stop, wake: make(chan struct{}, 1), offers: map[string]*pb.Command{}}
}

// Offer queues a command without waiting for it. It replaces a queued command with the same key.
func (q *Queue) Offer(key string, c *pb.Command) {
	q.mu.Lock()
	_, queued := q.offers[key]
	if !queued && len(q.offers) < maxOffers {
		q.offerKeys = append(q.offerKeys, key)
		q.offers[key] = c
	} else if queued {
		q.offers[key] = c
	}
	q.mu.Unlock()
	q.notify()
}

// Submit queues a command and waits up to limit for its result. A full queue returns ErrBusy at once.
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

// Queued returns the number of commands that are not part of a batch yet.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.submitted) + len(q.offers)
}

// Run submits batches until the queue is stopped. Waiting callers then get ErrClosed.
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

// withdraw removes a command that is not part of a batch yet. On success the command will not run.
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

// nextBatch forms the next batch: commands with waiting callers first, then offers.
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

// deliverBatch submits a batch and returns its results to the callers.
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

// submitWithRetry retries a batch until it has results, for at most batchTimeout. Once an attempt may have run, the
// error is ErrUnknown.
func (q *Queue) submitWithRetry(b *pb.Batch) ([]*pb.Result, error) {
	failure := ErrUnavailable
	for end, delay := time.Now().Add(batchTimeout), MinRetryDelay; ; delay = min(2*delay, MaxRetryDelay) {
		results, mayHaveRun, err := q.submitBatch(b)
		if err == nil && len(results) == len(b.Commands) {
			return results, nil
		}
		if mayHaveRun {
			failure = ErrUnknown
		}
		if time.Now().After(end) {
			return nil, failure
		}
		select {
		case <-q.stop:
			return nil, failure
		case <-time.After(delay/2 + rand.N(delay)): // jitter: instances must not all retry at once
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
