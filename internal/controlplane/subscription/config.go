// Package subscription holds both ends of the control stream as state machines without I/O: a Server that has the
// state and the log of its newest changes, and a Client that keeps a copy of the state within its scope.
//
// A session of the server is a cursor into the log that all sessions share. A slow subscriber costs no queue: it is
// sent the next step once it has acknowledged enough of the last, with what came meanwhile coalesced.
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
	// DefaultLogBytes keeps some 50,000 changes of a member (about 330 bytes with what was before): most of a day at the
	// target's 63,000 changes, or two replacements of all 21,000 members.
	DefaultLogBytes = 16 << 20
	// DefaultWindowBytes may be unacknowledged. Between regions (0.2 s there and back) it lets a snapshot of 2.5 MB
	// through in about 2 s, and it bounds what is under way to 2,400 stuck subscribers to 600 MB over all voters.
	DefaultWindowBytes = 256 << 10
	// DefaultMaxSessions is one server's share if it has to carry twice the target alone.
	DefaultMaxSessions = 4800
	// DefaultHeartbeatInterval is the longest silence of a server, ns. Three of them fit into DefaultSilence.
	DefaultHeartbeatInterval = 2 * second
	// DefaultFlushDelay is how long a change that is not binding may wait for others, ns: a fiftieth of the 11 s in which it
	// has to be in force, while a burst of commits becomes five frames a second instead of one for each.
	DefaultFlushDelay = 200 * millisecond
	// DefaultStallTimeout closes a session that acknowledges nothing though there is something to acknowledge, ns.
	// Clients acknowledge within 0.1 s; several lost round trips are far below it.
	DefaultStallTimeout = 10 * second
	// DefaultSnapshotRate in bytes a second: 13 snapshots of 2.5 MB, so that five voters bring back a zone of 126
	// gateways in about 2 s and all 2,400 in about 40 s, with a quarter of a 1 Gbit/s link.
	DefaultSnapshotRate = 32 << 20
	// DefaultSnapshotBurst in bytes: one second's worth.
	DefaultSnapshotBurst = 32 << 20
)

// ServerConfig sets up a Server. Zero fields take the defaults above.
type ServerConfig struct {
	Cluster           string
	LogBytes          int             // of changes kept, as revision.Size counts them
	WindowBytes       int             // that may be under way to one subscriber
	MaxSessions       int             // beyond it who comes is told to come back
	HeartbeatInterval aspenshed.Nanos // the longest silence towards a subscriber
	FlushDelay        aspenshed.Nanos // the longest wait of a change that is not binding
	StallTimeout      aspenshed.Nanos // without any acknowledgement of what is under way
	// SnapshotRate in bytes a second and SnapshotBurst in bytes ration the snapshots.
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
	// DefaultIdleTimeout ends a connection on which nothing came, ns: three heartbeats. With a reconnect it leaves half of
	// the 11 s for the changes.
	DefaultIdleTimeout = 6 * second
	// DefaultMinBackoff is the bound of the first delay before a reconnect, ns: 480 subscribers of a lost server come
	// back over half a second, about one a millisecond.
	DefaultMinBackoff = 500 * millisecond
	// DefaultMaxBackoff is the last bound, ns: a server that comes back is found within half of the 11 s on average.
	DefaultMaxBackoff = 8 * second
)

// ClientConfig sets up a Client. Zero fields take the defaults above.
type ClientConfig struct {
	Cluster     string
	Subscriber  string // this subscriber's id
	Boot        string // new with each start of it
	Region      string
	Zone        string
	Release     string
	Scope       revision.Scope
	Servers     []string
	Seed        uint64
	IdleTimeout aspenshed.Nanos // ends a connection on which nothing came
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
