package request

// CloseReason says why a client connection ended.
type CloseReason int

// The reasons.
const (
	ClosedByClient    CloseReason = iota
	ClosedWriteFailed             // the client's end is gone
	ClosedInvalid                 // after malformed input or too many commands
	ClosedUnread                  // the client reads nothing of what was written
	ClosedIdle
	ClosedReclaimed // idle, when connections are scarce
	ClosedDraining
)

// CloseReasonCount is the number of reasons.
const CloseReasonCount = int(ClosedDraining) + 1

var closeReasonNames = [CloseReasonCount]string{"client", "write_failed", "invalid", "unread", "idle",
	"reclaimed", "draining"}

// mayLeaveUnanswered holds for each reason whether commands that were taken may be without a response: only where none can
// reach the client any more.
var mayLeaveUnanswered = [CloseReasonCount]bool{ClosedByClient: true, ClosedWriteFailed: true, ClosedUnread: true}

// MayLeaveUnanswered reports whether a connection may be closed for this reason while commands on it have no response.
func (r CloseReason) MayLeaveUnanswered() bool { return mayLeaveUnanswered[r] }

// String returns the name of the reason in logs and metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }
