package trial

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/experiment/standin"
)

// Three instances under load; the leader is cut off while a drain is agreed on that its own older list does not name at the
// others, and while a database starts cold; another is killed and comes back. All are served all along, the drain
// holds, nobody pushes the cold one over, and the catalogs end equal.
func TestLeaderPartitionUnderLoad(t *testing.T) {
	logrus.SetOutput(io.Discard)
	limits := standin.DefaultLimits()
	limits.WarmUpTime = 10 * time.Second // colder for less long: the daemon takes it to be cold for 16 s
	r, err := Run(Options{Clients: 4, Pause: 30 * time.Millisecond, PartitionTime: 6 * time.Second, Leases: true, Limits: limits, Kill: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Served == 0 || r.LateDrains != 0 || r.Fell || r.HighestCold >= 1 || r.MostRun > 1 || !r.Equal {
		t.Errorf("%+v", r)
	}
	if r.Modes[r.Cut] != "cut_off" {
		t.Errorf("modes at the end of the cut: %v", r.Modes)
	}
	for i, g := range r.LongestGap {
		if g > 5*time.Second {
			t.Errorf("instance %d served nothing for %v", i, g)
		}
	}
}
