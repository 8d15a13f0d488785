package subscription

import (
	"errors"
	"fmt"

	"aspenshed"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

// StreamError is an error of a client's connection, with the place where it occurred.
type StreamError struct {
	Server   string
	Key      string // if the error concerns one record
	Revision uint64 // the client's current one
	Err      error
}

func (e *StreamError) Error() string {
	if e.Key != "" {
		return fmt.Sprintf("server %s, key %q, at revision %d: %v", e.Server, e.Key, e.Revision, e.Err)
	}
	return fmt.Sprintf("server %s, at revision %d: %v", e.Server, e.Revision, e.Err)
}

func (e *StreamError) Unwrap() error { return e.Err }

// SubscriberError is an error of a subscriber, or the reason for which its session was closed.
type SubscriberError struct {
	Subscriber string // empty: not subscribed yet
	Session    SessionID
	Revision   uint64 // the last one that it was sent
	Reason     pb.Closing_Reason
	Err        error
}

func (e *SubscriberError) Error() string {
	return fmt.Sprintf("subscriber %q, session %d, at revision %d: %v: %v", e.Subscriber, e.Session, e.Revision, e.Reason, e.Err)
}

func (e *SubscriberError) Unwrap() error { return e.Err }

// SequenceError reports a missing or repeated frame.
type SequenceError struct{ Got, Want uint64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("received frame %d, expected frame %d", e.Got, e.Want)
}

// GapError reports changes that don't begin at the client's revision.
type GapError struct{ From, Current uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("changes begin at revision %d, the client is at revision %d", e.From, e.Current)
}

// StaleRevisionError reports a revision that goes backward.
type StaleRevisionError struct{ Revision, Current uint64 }

func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("revision %d is older than revision %d", e.Revision, e.Current)
}

// DigestError reports a state that differs from the server's.
type DigestError struct {
	Revision  uint64
	Got, Want revision.Digest
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("digest is %016x at revision %d, the server's is %016x", uint64(e.Got), e.Revision, uint64(e.Want))
}

// ChunkError reports a chunk of a snapshot that is missing, repeated or out of order.
type ChunkError struct{ Got, Want uint32 }

func (e *ChunkError) Error() string {
	return fmt.Sprintf("received snapshot chunk %d, expected chunk %d", e.Got, e.Want)
}

// InvalidMessageError reports a message with invalid content.
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

// UnexpectedMessageError reports a message that is not allowed in the current state, or of an unknown kind.
type UnexpectedMessageError struct{ Message string }

func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message: %s", e.Message)
}

// ClosedError reports that the server closed the connection with a reason.
type ClosedError struct {
	Reason     pb.Closing_Reason
	Detail     string
	RetryAfter aspenshed.Nanos
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("closed by the server: %v: %s", e.Reason, e.Detail)
}

// Errors without further details.
var (
	ErrIdleTimeout        = errors.New("nothing received from the server in time")
	ErrNotConnected       = errors.New("not subscribed to a server")
	ErrConnectionLost     = errors.New("the connection was lost before the reply")
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
