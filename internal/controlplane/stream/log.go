package stream

import (
	"io"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/subscription"
)

// writeLogLine writes a log line of a state machine.
func writeLogLine(log *logrus.Entry, line *subscription.LogLine) {
	fields := logrus.Fields{"revision": line.Revision}
	for name, value := range map[string]string{"subscriber": line.Subscriber, "server": line.Server, "key": line.Key} {
		if value != "" {
			fields[name] = value
		}
	}
	if line.Session != 0 {
		fields["session"] = uint64(line.Session)
	}
	entry := log.WithFields(fields)
	if line.Err != nil {
		entry = entry.WithError(line.Err)
	}
	if line.Level == subscription.Warn {
		entry.Warn(line.Message)
		return
	}
	entry.Info(line.Message)
}

// panicFields returns the log fields for a panic: its value and the stack.
func panicFields(p any) logrus.Fields {
	return logrus.Fields{"panic": p, "stack": string(debug.Stack())}
}

// loggerOrDiscard returns log, or a logger that discards everything if it is nil.
func loggerOrDiscard(log *logrus.Entry) *logrus.Entry {
	if log != nil {
		return log
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	return logrus.NewEntry(discard)
}
