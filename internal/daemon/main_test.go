package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const eventuallyTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	m.Run()
}

// eventually fails the test if ok does not become true in time.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
