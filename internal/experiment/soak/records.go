package soak

import (
	"sync"
	"time"
)

// answer is how a request ended for its client.
type answer int

const (
	unanswered answer = iota
	served
	refused
	failed
	left       // the client closed its connection first
	connClosed // the gateway closed the connection without an answer
)

var answerNames = [...]string{"unanswered", "served", "refused", "failed", "left", "closed"}

func (a answer) String() string { return answerNames[a] }

// requestRecord is one request as its client saw it.
type requestRecord struct {
	id       string
	class    int
	group    int
	gateway  int
	process  int       // of the gateway, counted over its restarts
	sentAt   time.Time // when its last byte was written
	deadline time.Time
	endedAt  time.Time
	answer   answer
	resent   bool // the gateway closed a resting connection as the request was sent: sent again on a new one
	// repeatedAt is when the same request was sent again, after its client had left; zero: it was not.
	repeatedAt time.Time
}

// halfMessage is a client that stopped in the middle of a query and stayed.
type halfMessage struct {
	gateway, process   int
	stoppedAt, endedAt time.Time
	err                error // nil: the gateway ended the connection
}

// repeatedSend is a number of requests that were sent again after their client had left.
type repeatedSend struct {
	gateway, process int
	sentAt           time.Time
	orders, answered int
	err              error
}

// arrivalTimes are the times of a statement: of its first byte and its last byte on the gateway's side, and of its arrival at
// the database.
type arrivalTimes struct{ firstSentAt, sentAt, arrivedAt time.Time }

// attemptRecord is one attempt as its database saw it.
type attemptRecord struct {
	id       string
	class    int
	database int
	gateway  int
	arrivalTimes
	timeout  time.Duration // that the gateway told the database
	work     float64       // seconds
	stale    time.Duration // how far the database's data was behind
	executed bool
	mayRun   bool // not rejected
}

// records collects what clients and databases saw.
type records struct {
	mu       sync.Mutex
	requests []*requestRecord
	attempts []*attemptRecord
	halves   []halfMessage
	repeats  []*repeatedSend
}

func (r *records) addRequest(x *requestRecord) {
	r.mu.Lock()
	r.requests = append(r.requests, x)
	r.mu.Unlock()
}

func (r *records) addAttempt(x *attemptRecord) {
	r.mu.Lock()
	r.attempts = append(r.attempts, x)
	r.mu.Unlock()
}

func (r *records) addHalfMessage(x halfMessage) {
	r.mu.Lock()
	r.halves = append(r.halves, x)
	r.mu.Unlock()
}

func (r *records) addRepeat(x *repeatedSend) {
	r.mu.Lock()
	r.repeats = append(r.repeats, x)
	r.mu.Unlock()
}
