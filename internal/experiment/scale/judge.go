package scale

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/experiment/measure"
)

// verifyFinalState compares the states of all subscribers and voters, and looks for lost changes.
func (r *runner) verifyFinalState(ctx context.Context) error {
	expected, err := r.commitMarker(ctx)
	if err != nil {
		return err
	}
	for _, verify := range []func(context.Context, uint64) error{r.verifyStates, r.verifyRollout} {
		if err := verify(ctx, expected); err != nil {
			return err
		}
	}
	lost := r.expected.Lost(r.observer.Records())
	r.run.Checks = append(r.run.Checks,
		atMost("end: agreed changes that were lost", float64(len(lost)), 0, "1", strings.Join(lost[:min(len(lost), 5)], "; ")))
	return r.verifyNodes(ctx)
}

// waitUntilOrTimeout waits for a condition that a check evaluates afterwards, so that a timeout is no error.
func waitUntilOrTimeout(ctx context.Context, what string, limit time.Duration, ok func() bool) error {
	err := waitUntil(ctx, what, limit, ok)
	var timeout *TimeoutError
	if errors.As(err, &timeout) {
		return nil
	}
	return err
}

// verifyStates compares the states of all hollow gateways with the observer's.
func (r *runner) verifyStates(ctx context.Context, expected uint64) error {
	var total fleetTotal
	var failure error
	err := waitUntilOrTimeout(ctx, "equal states", MaxApplyDelay, func() bool {
		total, failure = r.report(ctx, Report{Expected: expected})
		return failure == nil && len(total.Digests) == 1 && total.statesByFrequency()[0] == r.observer.Digest()
	})
	if err := errors.Join(err, failure); err != nil {
		return err
	}
	states := total.statesByFrequency()
	equal := total.Digests[r.observer.Digest()]
	r.run.Checks = append(r.run.Checks,
		atMost("end: gateways whose state differs", float64(total.Gateways-equal), 0, "1", fmt.Sprintf("%d states, %v", len(states), states[:min(len(states), 3)])),
		atMost("end: drains undone", float64(total.UndoneDrains), 0, "1", ""))
	return nil
}

// verifyRollout compares the voters' rollout report with the actual subscribers: hollow gateways, real gateways
// and the observer.
func (r *runner) verifyRollout(ctx context.Context, expected uint64) error {
	total, err := r.report(ctx, Report{Expected: expected})
	if err != nil {
		return err
	}
	subscribers := total.Gateways + len(r.gateways) + 1
	var report store.RolloutReport
	var failure error
	err = waitUntilOrTimeout(ctx, "the rollout", MaxApplyDelay, func() bool {
		report, failure = r.voters[0].Rollout(expected)
		return failure == nil && int(report.Applied) == subscribers && report.Subscribers == report.Applied
	})
	if err != nil {
		return err
	}
	detail := fmt.Sprintf("%d subscribers, %d in force, silent voters %v, lagging %v", report.Subscribers, report.Applied, report.Unreachable, report.Lagging)
	if failure != nil {
		detail = failure.Error()
	}
	missing := max(subscribers-int(report.Applied), int(report.Subscribers)-int(report.Applied), int(report.Applied)-subscribers)
	r.run.Checks = append(r.run.Checks, atMost("end: subscribers that the voters' rollout counts wrongly", float64(missing), 0, "1", detail))
	return nil
}

// verifyNodes compares the voters' catalogs, and checks the load on the real gateways.
func (r *runner) verifyNodes(ctx context.Context) error {
	var digests map[string]int // of the last poll: heartbeats change the catalogs constantly
	err := waitUntilOrTimeout(ctx, "equal catalogs", MaxApplyDelay, func() bool {
		digests = r.catalogDigests()
		return len(digests) == 1
	})
	if err != nil {
		return err
	}
	r.run.Checks = append(r.run.Checks, atMost("end: different catalogs of voters", float64(len(digests)), 1, "1", fmt.Sprint(digests)))
	if r.load == nil {
		return nil
	}
	response, err := r.load.Do(ctx, Request{Report: &Report{}})
	if err != nil {
		return err
	}
	l := response.Load
	r.run.Checks = append(r.run.Checks,
		measure.Check{Name: "real gateways: requests served", Bound: 1, Value: float64(l.Served), Unit: "1", Passed: l.Served > 0,
			Detail: fmt.Sprintf("%d refused, %d failed", l.Refused, l.Failed)},
		atMost("real gateways: requests at a draining database later than the grace", float64(l.LateDrains), 0, "1", ""))
	return nil
}

// catalogDigests counts voters by the digest of their catalogs.
func (r *runner) catalogDigests() map[string]int {
	out := map[string]int{}
	for _, n := range r.voters {
		s, err := n.Status()
		if err != nil {
			s.Digest = err.Error()
		}
		out[s.Digest]++
	}
	return out
}
