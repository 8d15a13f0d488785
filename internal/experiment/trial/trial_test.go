package trial

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/experiment/standin"
)

// Three instances serve load while the leader is partitioned. Meanwhile the others commit a drain that their own loaded
// inventories do not contain, a database restarts cold, and another instance is killed and started again. Guards
// against an instance that stops serving, requests at the drained database after its grace period, an overload of the
// cold database, a write that is executed twice, and catalogs that differ at the end.
func TestLeaderPartitionUnderLoad(t *testing.T) {
	logrus.SetOutput(io.Discard)
	limits := standin.DefaultLimits()
	limits.WarmUpTime = 10 * time.Second // shorter than the 16 s that the daemon assumes
	r, err := Run(Options{Clients: 4, Pause: 30 * time.Millisecond, PartitionTime: 6 * time.Second, Leases: true,
		Limits: limits, Kill: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Served == 0 || r.LateDrains != 0 || r.Fell || r.HighestCold >= 1 || r.MostRun > 1 || !r.Equal {
		t.Errorf("%+v", r)
	}
	if r.Modes[r.Cut] != "cut_off" {
		t.Errorf("modes at the end of the partition: %v", r.Modes)
	}
	for i, g := range r.LongestGap {
		if g > 5*time.Second {
			t.Errorf("instance %d served nothing for %v", i, g)
		}
	}
}
