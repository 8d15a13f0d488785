package subscription

// Level is how much a LogLine matters.
type Level int

// The levels.
const (
	Info Level = iota + 1
	Warn
)

// LogLine is what a machine has to say to the operators: a constant message, and its fields as far as they apply.
type LogLine struct {
	Level      Level
	Message    string
	Session    SessionID // of a server
	Subscriber string
	Server     string
	Key        string
	Revision   uint64
	Err        error
}

// The messages.
const (
	messageConnected              = "control stream established"
	messageLost                   = "control stream lost"
	messageInvalidInput           = "control stream: bad input from the server, nothing changed"
	messageDiverged               = "control state diverged from the server's, resynchronizing"
	messageResynced               = "control state resynchronized"
	messageSessionClosed          = "subscriber closed"
	messageInvalidSubscriberInput = "subscriber sent bad input, nothing changed"
	messageDigestMismatch         = "subscriber's state differs from ours at its revision, sending a snapshot"
)
