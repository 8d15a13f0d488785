package accounting

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
)

// Guards the log: an unknown class or tenant is named at once, and once, whatever else is rejected; the names are bounded.
func TestUnknownNamesAreLoggedOnce(t *testing.T) {
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	s := New(eventloop.NewLoop(eventloop.NewClock()), logrus.NewEntry(log))
	for range 20 {
		s.CountRejected("malformed message")
	}
	for i := range 2 * maxLoggedNames {
		s.CountRejected(`unknown class "a"`)
		s.CountRejected(`unknown tenant "b"`)
		s.CountRejected(fmt.Sprintf("unknown class \"x%d\"", i))
	}
	for word, want := range map[string]int{"class \\\"a\\\"": 1, "tenant \\\"b\\\"": 1, "unknown": maxLoggedNames} {
		if got := strings.Count(out.String(), word); got != want {
			t.Errorf("%s is in %d lines, want %d", word, got, want)
		}
	}
	if s.Counts.Rejected != 20+6*maxLoggedNames {
		t.Errorf("%d counted", s.Counts.Rejected)
	}
}
