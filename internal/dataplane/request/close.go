package request

// CloseReason says why a client connection ended.
type CloseReason int

// The reasons. All but ClosedByClient are decisions of the gateway.
const (
	ClosedByClient CloseReason = iota
	ClosedWriteFailed
	ClosedOverLimit // too many bytes wait for an earlier response
	ClosedInvalid   // after malformed input or too many commands
	ClosedUnread    // the client reads nothing
	ClosedIdle
	ClosedReclaimed // idle, when connections are scarce
	ClosedDraining
)

// CloseReasonCount is the number of reasons.
const CloseReasonCount = int(ClosedDraining) + 1

var closeReasonNames = [CloseReasonCount]string{"client", "write_failed", "over_limit", "invalid", "unread", "idle",
	"reclaimed", "draining"}

// String returns the name of the reason in logs and metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }
