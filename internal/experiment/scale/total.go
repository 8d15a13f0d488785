package scale

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"aspenshed/internal/experiment/measure"
)

// fleetTotal is the combined state of the hollow gateways of all workers.
type fleetTotal struct {
	FleetState
	applyLatency, snapshotLatency *hdrhistogram.Histogram
	usageByProcess                map[int]Usage // of workers by process ID
	gatewaysByProcess             map[int]int   // number of gateways by process ID
}

func newFleetTotal() fleetTotal {
	return fleetTotal{FleetState: FleetState{Digests: map[string]int{}}, applyLatency: newHistogram(), snapshotLatency: newHistogram(),
		usageByProcess: map[int]Usage{}, gatewaysByProcess: map[int]int{}}
}

func (t *fleetTotal) add(s *FleetState, pid int) error {
	t.Gateways += s.Gateways
	t.Partitioned += s.Partitioned
	t.Connected += s.Connected
	t.Applied += s.Applied
	t.UndoneDrains += s.UndoneDrains
	t.RevisionRegressions += s.RevisionRegressions
	t.Bytes += s.Bytes
	t.Messages += s.Messages
	t.Snapshots += s.Snapshots
	t.Reconnects += s.Reconnects
	t.Stalled += s.Stalled
	t.StalledClosed += s.StalledClosed
	t.MaxGatewayBytes = max(t.MaxGatewayBytes, s.MaxGatewayBytes)
	t.Window = max(t.Window, s.Window)
	if t.MinRevision == 0 || s.MinRevision != 0 && s.MinRevision < t.MinRevision {
		t.MinRevision = s.MinRevision
	}
	t.Submissions.Pending += s.Submissions.Pending
	t.Submissions.Done += s.Submissions.Done
	t.Submissions.Failed = append(t.Submissions.Failed, s.Submissions.Failed...)
	for state, n := range s.Digests {
		t.Digests[state] += n
	}
	t.usageByProcess[pid] = s.Usage
	t.gatewaysByProcess[pid] += s.Gateways
	return t.merge(s)
}

func (t *fleetTotal) merge(s *FleetState) error {
	for _, part := range []struct {
		into    *hdrhistogram.Histogram
		encoded []byte
	}{{t.applyLatency, s.ApplyLatencies}, {t.snapshotLatency, s.SnapshotLatencies}} {
		h, err := hdrhistogram.Decode(part.encoded)
		if err != nil {
			return err
		}
		part.into.Merge(h)
	}
	return nil
}

// quantilesOf returns the quantiles of a histogram of microseconds, in seconds.
func quantilesOf(h *hdrhistogram.Histogram) measure.Quantiles {
	seconds := func(us int64) float64 { return (time.Duration(us) * time.Microsecond).Seconds() }
	if h.TotalCount() == 0 {
		return measure.Quantiles{}
	}
	return measure.Quantiles{Count: h.TotalCount(), P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())}
}

// statesByFrequency returns the states of the gateways, the most frequent first.
func (t *fleetTotal) statesByFrequency() []string {
	return slices.SortedFunc(maps.Keys(t.Digests), func(a, b string) int { return t.Digests[b] - t.Digests[a] })
}
