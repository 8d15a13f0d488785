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
	gateway  int
	process  int       // of the gateway, counted over its restarts
	sentAt   time.Time // when its last byte was written
	deadline time.Time
	endedAt  time.Time
	answer   answer
	resent   bool // the gateway closed a resting connection as the request was sent: sent again on a new one
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
