// Package subscription implements both ends of the control stream as state machines without I/O: a Server that has the
// state and the log of its newest changes, and a Client that keeps a copy of the state within its scope.
//
// A session of the server is a cursor into the log that all sessions share. A slow subscriber needs no queue: it is
// sent the next update once it has acknowledged enough of the previous one, and the changes since then are coalesced.
package subscription

import (
	"time"

	"aspenshed"
	"aspenshed/internal/controlplane/revision"
)

const (
	second      = aspenshed.Nanos(time.Second)
	millisecond = aspenshed.Nanos(time.Millisecond)
)

// Defaults of ServerConfig.
const (
	// DefaultLogBytes keeps some 50,000 changes of a member (about 330 bytes with the previous record): most of a day at
	// the target's 63,000 changes, or two replacements of all 21,000 members.
	DefaultLogBytes = 16 << 20
	// DefaultWindowBytes is the number of bytes that may be unacknowledged. Between regions (round trip of 0.2 s) it lets
	// a snapshot of 2.5 MB through in about 2 s, and it bounds the bytes in flight to 2,400 stalled subscribers to 600 MB
	// over all voters.
	DefaultWindowBytes = 256 << 10
	// DefaultMaxSessions is enough for one server to carry twice the target's subscribers alone.
	DefaultMaxSessions = 4800
	// DefaultHeartbeatInterval is the longest time between two frames of a server, ns. Three of them fit into
	// DefaultIdleTimeout.
	DefaultHeartbeatInterval = 2 * second
	// DefaultFlushDelay is how long a change that is not binding may be delayed to be batched with others, ns: a fiftieth
	// of the 11 s in which it has to be applied, while a burst of commits becomes five frames a second instead of one for
	// each.
	DefaultFlushDelay = 200 * millisecond
	// DefaultStallTimeout closes a session that has unacknowledged frames and acknowledges none of them, ns. Clients
	// acknowledge within 0.1 s, and several lost round trips take far less than the timeout.
	DefaultStallTimeout = 10 * second
	// DefaultSnapshotRate is in bytes a second: 13 snapshots of 2.5 MB, so that five voters resynchronize a zone of 126
	// gateways in about 2 s and all 2,400 in about 40 s, with a quarter of a 1 Gbit/s link.
	DefaultSnapshotRate = 32 << 20
	// DefaultSnapshotBurst is in bytes: the amount of one second.
	DefaultSnapshotBurst = 32 << 20
)

// ServerConfig configures a Server. Zero fields take the defaults above.
type ServerConfig struct {
	Cluster           string
	LogBytes          int             // of changes kept, as revision.ChangeSize counts them
	WindowBytes       int             // that may be unacknowledged by one subscriber
	MaxSessions       int             // further connections are closed as BUSY, with a time to retry
	HeartbeatInterval aspenshed.Nanos // the longest time between two frames to a subscriber
	FlushDelay        aspenshed.Nanos // the longest delay of a change that is not binding
	StallTimeout      aspenshed.Nanos // closes a session that acknowledges none of its frames
	// SnapshotRate in bytes a second and SnapshotBurst in bytes limit the rate of snapshots.
	SnapshotRate  float64
	SnapshotBurst float64
	Seed          uint64
}

func (c ServerConfig) withDefaults() ServerConfig {
	setDefault(&c.LogBytes, DefaultLogBytes)
	setDefault(&c.WindowBytes, DefaultWindowBytes)
	setDefault(&c.MaxSessions, DefaultMaxSessions)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.FlushDelay, DefaultFlushDelay)
	setDefault(&c.StallTimeout, DefaultStallTimeout)
	setDefault(&c.SnapshotRate, DefaultSnapshotRate)
	setDefault(&c.SnapshotBurst, DefaultSnapshotBurst)
	return c
}

// Defaults of ClientConfig.
const (
	// DefaultIdleTimeout ends a connection on which nothing was received, ns: three heartbeats. With a reconnect it leaves
	// half of the 11 s for delivering the changes.
	DefaultIdleTimeout = 6 * second
	// DefaultMinBackoff is the bound of the first delay before a reconnect, ns: 480 subscribers of a lost server reconnect
	// within half a second, about one a millisecond.
	DefaultMinBackoff = 500 * millisecond
	// DefaultMaxBackoff is the largest bound, ns: a restarted server is found within half of the 11 s on average.
	DefaultMaxBackoff = 8 * second
)

// ClientConfig configures a Client. Zero fields take the defaults above.
type ClientConfig struct {
	Cluster     string
	Subscriber  string // this subscriber's id
	Boot        string // new with each start of the subscriber
	Region      string
	Zone        string
	Release     string
	Scope       revision.Scope
	Servers     []string
	Seed        uint64
	IdleTimeout aspenshed.Nanos // ends a connection on which nothing was received
	MinBackoff  aspenshed.Nanos
	MaxBackoff  aspenshed.Nanos
}

func (c ClientConfig) withDefaults() ClientConfig {
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	c.Scope = c.Scope.Normalized()
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
