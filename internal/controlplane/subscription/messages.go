package subscription

import (
	"aspenshed"
	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// SessionID names a connection of a server. It is never used twice.
type SessionID uint64

// Output is what a server has to do for one session. Frame goes out first, then the connection is closed if Close.
type Output struct {
	Session SessionID
	Frame   []byte // whole, with its length prefix
	Close   bool
	Submit  *pb.Submit // to be carried to the leader and answered by Server.Submitted
	Log     *LogLine
}

// SubscriberStatus is one session as an operator sees it.
type SubscriberStatus struct {
	Session            SessionID
	Subscriber         string
	Boot               string
	Region             string
	Zone               string
	Release            string
	SentRevision       uint64 // the revision that it was brought to
	InForce            uint64
	UnackedBytes       int  // bytes that it has not acknowledged
	SnapshotInProgress bool // it is being sent one
}

// Event is what happened to a client: one of the types below. The events of a connection end with Disconnected or
// with the client's own HangUp; nothing of it may come after that.
type Event interface{ event() }

type (
	// Connected tells that the dialled server took the connection.
	Connected struct{}
	// Disconnected tells that the connection ended or that the dial failed.
	Disconnected struct{ Err error }
	// Received is one frame and its size on the wire.
	Received struct {
		Frame *pb.ServerFrame
		Bytes int
	}
	// BadFrame tells that what came is no frame.
	BadFrame struct{ Err error }
	// InForce tells which revision the data plane goes by, and which changes it refused since the last InForce.
	InForce struct {
		Revision uint64
		Refused  []*pb.RefusedChange
	}
	// SubmitCommands asks for a batch to be carried to the leader. IDs are never used twice.
	SubmitCommands struct {
		ID    uint64
		Batch *catalogpb.Batch
	}
	// SetServers replaces the servers; a connection to one that is no longer among them ends.
	SetServers struct{ Servers []string }
	// Stop ends the connection for good.
	Stop struct{}
)

func (Connected) event()      {}
func (Disconnected) event()   {}
func (Received) event()       {}
func (BadFrame) event()       {}
func (InForce) event()        {}
func (SubmitCommands) event() {}
func (SetServers) event()     {}
func (Stop) event()           {}

// Action is what a client wants done, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Dial asks for a connection; Connected or Disconnected answers it.
	Dial struct{ Server string }
	// Send sends a frame on the connection.
	Send struct{ Frame *pb.SubscriberFrame }
	// CloseConnection closes the connection, or gives up the dial.
	CloseConnection struct{}
	// Apply tells that Client.State has reached a revision by these changes, or was replaced whole.
	Apply struct {
		Revision uint64
		Full     bool // read Client.State; Changes is empty
		Changes  []revision.Change
	}
	// SubmitDone answers SubmitCommands. After an error the batch may still have been carried out; its origin and
	// sequence numbers make a repeat harmless.
	SubmitDone struct {
		ID    uint64
		Reply *catalogpb.Reply
		Err   error
	}
	// Log is a line for the operators.
	Log struct{ LogLine }
)

func (Dial) action()            {}
func (Send) action()            {}
func (CloseConnection) action() {}
func (Apply) action()           {}
func (SubmitDone) action()      {}
func (Log) action()             {}

// never is an instant that doesn't come.
const never = aspenshed.Nanos(1<<63 - 1)

// random draws from a seed by splitmix64.
type random struct{ state uint64 }

func (r *random) next() float64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
