package accounting

import (
	"strings"
	"testing"

	"aspenshed"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

type fixedClock aspenshed.Nanos

func (c *fixedClock) Now() aspenshed.Nanos { return aspenshed.Nanos(*c) }

// A zone that is lost changes the state of hundreds of members at once, on each gateway.
func TestMemberLinesAreBounded(t *testing.T) {
	var out strings.Builder
	log, clock := logrus.New(), fixedClock(1e18)
	log.SetOutput(&out)
	s := New(eventloop.NewLoop(&clock), logrus.NewEntry(log))
	for range 1000 {
		s.CountMemberState(aspenshed.MemberStateChanged{Member: "m", To: aspenshed.PhaseEjected})
		s.CountSlowStart(aspenshed.SlowStartReport{Member: "m", Sent: aspenshed.SlowStartCounts{Attempts: 2, Work: 0.5}})
	}
	clock += 1e9
	s.CountMemberState(aspenshed.MemberStateChanged{Member: "m", To: aspenshed.PhaseUp})
	if n := strings.Count(out.String(), "member state changed"); n != memberLineBurst+1 {
		t.Errorf("%d lines on states, want %d", n, memberLineBurst+1)
	}
	if n := strings.Count(out.String(), "slow start"); n != memberLineBurst {
		t.Errorf("%d lines on slow start, want %d", n, memberLineBurst)
	}
	if !strings.Contains(out.String(), "dropped=960") {
		t.Error("the number of dropped lines is missing")
	}
	if c := s.Counts; c.MemberStates[aspenshed.PhaseEjected] != 1000 || c.SlowStart.Attempts != 2000 || c.SlowStart.Work != 500 {
		t.Errorf("counts %+v", c)
	}
}

// All counters are exported under unique names with valid labels.
func TestMetricsAreComplete(t *testing.T) {
	var counts Counts
	counts.Refused, counts.Causes[aspenshed.CauseSlowStart] = 3, 3
	counts.ClientCloses[request.ClosedDraining] = 2
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(Metrics{Read: func() map[string]Counts { return map[string]Counts{"postgres": counts, "mysql": {}} }}); err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			key := f.GetName()
			for _, l := range m.GetLabel() {
				key += "," + l.GetValue()
			}
			got[key] = m.GetCounter().GetValue()
		}
	}
	for key, want := range map[string]float64{"aspenshed_unserved_requests_total,slow_start,postgres": 3,
		"aspenshed_requests_total,postgres,refused": 3, "aspenshed_client_connections_closed_total,postgres,draining": 2,
		"aspenshed_requests_total,mysql,refused": 0} {
		if value, ok := got[key]; !ok || value != want {
			t.Errorf("%s is %v (present: %v), want %v", key, value, ok, want)
		}
	}
}
