package accounting

import (
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// maxLoggedNames bounds how many unknown names are logged, as clients may send any number of them.
	maxLoggedNames = 64
	// maxRejectionKeys bounds how many kinds of rejections, and how many hosts, are counted on their own.
	maxRejectionKeys = 64
	otherKey         = "other"
)

// rejections counts invalid input by kind and by the host that sent it, and limits the log lines about it.
type rejections struct {
	logLimit    rate.Sometimes // hundreds of broken clients must not flood the log
	unlogged    int
	loggedNames map[string]bool // reasons with an unknown name that were logged
	kinds       map[string]int  // since the last counts line, as hosts
	hosts       map[string]int
}

func newRejections() rejections {
	return rejections{logLimit: rate.Sometimes{First: 10, Interval: time.Second}, loggedNames: map[string]bool{},
		kinds: map[string]int{}, hosts: map[string]int{}}
}

// CountRejected counts an invalid query of a client. An unknown name, such as that of a class or tenant, is logged once.
func (s *Stage) CountRejected(peer, reason string) {
	s.Counts.Rejected++
	r := &s.rejections
	increment(r.kinds, rejectionKind(reason))
	increment(r.hosts, host(peer))
	r.unlogged++
	logLine := func() {
		s.Log.WithFields(logrus.Fields{"reason": reason, "peer": peer, "more": r.unlogged - 1}).Warn("bad request rejected")
		r.unlogged = 0
	}
	switch {
	case !strings.HasPrefix(reason, "unknown "):
		r.logLimit.Do(logLine)
	case !r.loggedNames[reason] && len(r.loggedNames) < maxLoggedNames:
		r.loggedNames[reason] = true
		logLine()
	}
}

// rejectionKind returns the constant beginning of a reason, before what it quotes of the client's input.
func rejectionKind(reason string) string {
	if i := strings.IndexAny(reason, ":\"'0123456789"); i >= 0 {
		reason = reason[:i]
	}
	return strings.ReplaceAll(strings.TrimSpace(reason), " ", "_")
}

func host(peer string) string {
	if h, _, err := net.SplitHostPort(peer); err == nil {
		return h
	}
	return peer
}

func increment(counts map[string]int, key string) {
	if _, known := counts[key]; !known && len(counts) >= maxRejectionKeys {
		key = otherKey
	}
	counts[key]++
}

// addTo adds the counts by kind, and the host with the most, to the fields of a log line and starts anew.
func (r *rejections) addTo(fields logrus.Fields) {
	for kind, n := range r.kinds {
		fields["x_"+kind] = n
	}
	top, most := "", 0
	for h, n := range r.hosts {
		if n > most || n == most && h < top {
			top, most = h, n
		}
	}
	if most > 0 {
		fields["rejected_peer"], fields["rejected_of_peer"] = top, most
	}
	clear(r.kinds)
	clear(r.hosts)
}
