package subscription

import (
	"aspenshed"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// SessionID identifies a connection of a server. IDs are never reused.
type SessionID uint64

// Output is what has to be done for one session of a server. Frame is sent first, then the connection is closed if
// Close is set.
type Output struct {
	Session SessionID
	Frame   []byte // complete, with its length prefix
	Close   bool
	Submit  *pb.Submit // to be forwarded to the leader and answered through Server.Submitted
	Log     *LogLine
}

// SubscriberStatus is the status of one session, for operators.
type SubscriberStatus struct {
	Session            SessionID
	Subscriber         string
	Boot               string
	Region             string
	Zone               string
	Release            string
	SentRevision       uint64 // through which it was sent all changes
	AppliedRevision    uint64
	UnackedBytes       int  // sent and not acknowledged
	SnapshotInProgress bool // a snapshot is being sent
}

// Event is an input of a client: one of the types below. The events of a connection end with Disconnected or with the
// client's own CloseConnection; no event of that connection may follow.
type Event interface{ event() }

type (
	// Connected reports that the dial has succeeded.
	Connected struct{}
	// Disconnected reports that the connection ended or that the dial failed.
	Disconnected struct{ Err error }
	// Received is one frame and its size on the wire.
	Received struct {
		Frame *pb.ServerFrame
		Bytes int
	}
	// BadFrame reports input that can't be decoded as a frame.
	BadFrame struct{ Err error }
	// Applied reports the revision that the data plane has applied, and the changes that it refused since the last
	// Applied.
	Applied struct {
		Revision uint64
		Refused  []*pb.RefusedChange
	}
	// SubmitCommands requests that a batch is forwarded to the leader. IDs are never reused.
	SubmitCommands struct {
		ID    uint64
		Batch *catalogpb.Batch
	}
	// SetServers replaces the servers; a connection to a server that is no longer listed is closed.
	SetServers struct{ Servers []string }
	// Stop closes the connection for good.
	Stop struct{}
)

func (Connected) event()      {}
func (Disconnected) event()   {}
func (Received) event()       {}
func (BadFrame) event()       {}
func (Applied) event()        {}
func (SubmitCommands) event() {}
func (SetServers) event()     {}
func (Stop) event()           {}

// Action is an output of a client: one of the types below. Actions have to be performed in the order given.
type Action interface{ action() }

type (
	// Dial opens a connection; its result is reported with Connected or Disconnected.
	Dial struct{ Server string }
	// Send sends a frame on the connection.
	Send struct{ Frame *pb.SubscriberFrame }
	// CloseConnection closes the connection, or cancels the dial.
	CloseConnection struct{}
	// Apply reports that Client.State has reached a revision through these changes, or was replaced by a snapshot.
	Apply struct {
		Revision uint64
		Full     bool // replaced by a snapshot: read Client.State; Changes is empty
		Changes  []revision.Change
	}
	// SubmitDone completes SubmitCommands. After an error the batch may still have been executed; its origin and sequence
	// numbers make a retry idempotent.
	SubmitDone struct {
		ID    uint64
		Reply *catalogpb.Reply
		Err   error
	}
	// Log writes a log line.
	Log struct{ LogLine }
)

func (Dial) action()            {}
func (Send) action()            {}
func (CloseConnection) action() {}
func (Apply) action()           {}
func (SubmitDone) action()      {}
func (Log) action()             {}

// never is a deadline that is never reached.
const never = aspenshed.Nanos(1<<63 - 1)

// random is a splitmix64 generator.
type random struct{ state uint64 }

func (r *random) next() float64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
