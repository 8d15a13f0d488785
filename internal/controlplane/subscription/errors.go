package subscription

import (
	"errors"
	"fmt"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// StreamError is what went wrong on a client's connection, with the place.
type StreamError struct {
	Server   string
	Key      string // where one record is at fault
	Revision uint64 // the client's own
	Err      error
}

func (e *StreamError) Error() string {
	if e.Key != "" {
		return fmt.Sprintf("server %s, key %q, at revision %d: %v", e.Server, e.Key, e.Revision, e.Err)
	}
	return fmt.Sprintf("server %s, at revision %d: %v", e.Server, e.Revision, e.Err)
}

func (e *StreamError) Unwrap() error { return e.Err }

// SubscriberError is what a subscriber did wrong, or why its session was closed.
type SubscriberError struct {
	Subscriber string // empty: it has not said
	Session    SessionID
	Revision   uint64 // that it was sent last
	Reason     pb.Closing_Reason
	Err        error
}

func (e *SubscriberError) Error() string {
	return fmt.Sprintf("subscriber %q, session %d, at revision %d: %v: %v", e.Subscriber, e.Session, e.Revision, e.Reason, e.Err)
}

func (e *SubscriberError) Unwrap() error { return e.Err }

// SequenceError is a frame that is missing or came twice.
type SequenceError struct{ Got, Want uint64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("frame %d where %d was due", e.Got, e.Want)
}

// GapError is changes that don't begin where the client is.
type GapError struct{ From, Current uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("changes from revision %d do not fit revision %d", e.From, e.Current)
}

// StaleRevisionError is a revision that goes backward.
type StaleRevisionError struct{ Revision, Current uint64 }

func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("revision %d is older than %d", e.Revision, e.Current)
}

// DigestError is a state that would differ from the server's.
type DigestError struct {
	Revision  uint64
	Got, Want revision.Digest
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("digest %016x at revision %d, the server has %016x", uint64(e.Got), e.Revision, uint64(e.Want))
}

// ChunkError is a chunk of a snapshot that is missing, came twice or is out of order.
type ChunkError struct{ Got, Want uint32 }

func (e *ChunkError) Error() string {
	return fmt.Sprintf("chunk %d of a snapshot where %d was due", e.Got, e.Want)
}

// InvalidMessageError is a message whose content can't be true.
type InvalidMessageError struct {
	Message string // the message's type
	Key     string
	Problem string
}

func (e *InvalidMessageError) Error() string {
	if e.Key != "" {
		return fmt.Sprintf("%s, key %q: %s", e.Message, e.Key, e.Problem)
	}
	return fmt.Sprintf("%s: %s", e.Message, e.Problem)
}

// UnexpectedMessageError is a message that may not come now, or is of no known kind.
type UnexpectedMessageError struct{ Message string }

func (e *UnexpectedMessageError) Error() string { return fmt.Sprintf("%s is out of place", e.Message) }

// ClosedError is a connection that the server ended with a reason.
type ClosedError struct {
	Reason     pb.Closing_Reason
	Detail     string
	RetryAfter aspenshed.Nanos
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("closed by the server: %v: %s", e.Reason, e.Detail)
}

// Errors without further content.
var (
	ErrIdleTimeout        = errors.New("nothing came in time")
	ErrNotConnected       = errors.New("not subscribed to a server")
	ErrConnectionLost     = errors.New("the connection was lost before the answer")
	ErrTooManySubmissions = errors.New("too many submissions are unanswered")
	ErrStopped            = errors.New("stopped")
	ErrConnectionEnded    = errors.New("the connection ended")

	errAckTimeout        = errors.New("nothing acknowledged in time")
	errSubscribeTimeout  = errors.New("no subscription in time")
	errNoState           = errors.New("no state yet")
	errTooManySessions   = errors.New("too many sessions")
	errTooManySnapshots  = errors.New("too many snapshots at once")
	errStopping          = errors.New("the server stops")
	errReplaced          = errors.New("subscribed again on another session")
	errWrongCluster      = errors.New("of another cluster")
	errUnknownMessage    = errors.New("a frame of unknown kind")
	errAlreadySubscribed = errors.New("subscribed twice")
	errNotSubscribed     = errors.New("not subscribed yet")
)
