package stream

import (
	"io"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/controlplane/subscription"
)

// writeLogLine hands a machine's line to the log.
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

// panicFields say what went wrong and where.
func panicFields(p any) logrus.Fields {
	return logrus.Fields{"panic": p, "stack": string(debug.Stack())}
}

// loggerOrDiscard is the log, or one that goes nowhere.
func loggerOrDiscard(log *logrus.Entry) *logrus.Entry {
	if log != nil {
		return log
	}
	nowhere := logrus.New()
	nowhere.SetOutput(io.Discard)
	return logrus.NewEntry(nowhere)
}
