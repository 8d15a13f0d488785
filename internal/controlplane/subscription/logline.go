package subscription

// Level is the severity of a LogLine.
type Level int

// The severities of log lines.
const (
	Info Level = iota + 1
	Warn
)

// LogLine is a log line of a state machine: a constant message, and the fields that apply.
type LogLine struct {
	Level      Level
	Message    string
	Session    SessionID // set by a server only
	Subscriber string
	Server     string
	Key        string
	Revision   uint64
	Err        error
}

// The constant messages of log lines.
const (
	messageConnected              = "control stream established"
	messageLost                   = "control stream lost"
	messageInvalidInput           = "control stream: rejected invalid input from the server"
	messageDiverged               = "control state diverged from the server's, resynchronizing"
	messageResynced               = "control state resynchronized"
	messageSessionClosed          = "subscriber session closed"
	messageInvalidSubscriberInput = "rejected invalid input from a subscriber"
	messageDigestMismatch         = "subscriber's digest does not match at its revision, sending a snapshot"
)
