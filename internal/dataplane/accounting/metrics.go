package accounting

import (
	"aspenshed"

	"github.com/prometheus/client_golang/prometheus"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/membudget"
)

const namespace = "aspenshed"

// Metrics exports Counts to Prometheus. Counts are those of one front, which the label front names.
type Metrics struct {
	// Read returns the counts by front. It is called on each collection, on the collecting goroutine.
	Read func() map[string]Counts
	// ReadPressure returns the pressure of the last counts interval by front; nil: none is exported.
	ReadPressure func() map[string]Pressure
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, append([]string{"front"}, labels...), nil)
}

var (
	requestsDesc     = newDesc("requests_total", "Requests by final response.", "result")
	causesDesc       = newDesc("unserved_requests_total", "Refused and failed requests by cause.", "cause")
	attemptsDesc     = newDesc("attempts_total", "Attempts by outcome.", "outcome")
	probesDesc       = newDesc("probes_total", "Probes by outcome.", "outcome")
	closesDesc       = newDesc("client_connections_closed_total", "Client connections that ended, by reason.", "reason")
	statesDesc       = newDesc("member_state_changes_total", "Changes of member states, by the new state.", "state")
	primaryDesc      = newDesc("primary_changes_total", "Changes of the trusted primaries, by what the role was learned from.", "source")
	slowStartDesc    = newDesc("slow_start_attempts_total", "Attempts at warming members, by what became of them.", "result")
	slowStartSecDesc = newDesc("slow_start_work_seconds_total", "Expected work sent to warming members.", "result")
	shedDesc         = newDesc("shed_commands_total", "Commands refused for want of memory.")
	unansweredDesc   = newDesc("unanswered_commands_total", "Commands without a response on connections that the gateway closed.")
	memoryDesc       = newDesc("memory_bytes", "Memory held for clients and databases, the highest of the last counts interval.", "holder")
	memoryLimitDesc  = newDesc("memory_limit_bytes", "Share of the memory budget.", "holder")
	mailboxDesc      = newDesc("mailbox_length", "Most functions that waited for the event loop in the last counts interval.")
	delayDesc        = newDesc("longest_delay_seconds", "Longest wait for the event loop, batch of it and read of one connection, in the last counts interval.", "place")
)

// Describe implements prometheus.Collector.
func (m Metrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, causesDesc, attemptsDesc, probesDesc, closesDesc, statesDesc, primaryDesc, slowStartDesc, slowStartSecDesc,
		shedDesc, unansweredDesc, memoryDesc, memoryLimitDesc, mailboxDesc, delayDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m Metrics) Collect(out chan<- prometheus.Metric) {
	for front, counts := range m.Read() {
		counter := func(d *prometheus.Desc, value float64, label string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, front, label)
		}
		counts.export(counter)
		out <- prometheus.MustNewConstMetric(shedDesc, prometheus.CounterValue, float64(counts.Shed), front)
		out <- prometheus.MustNewConstMetric(unansweredDesc, prometheus.CounterValue, float64(counts.Unanswered), front)
	}
	if m.ReadPressure == nil {
		return
	}
	for front, pressure := range m.ReadPressure() {
		pressure.export(func(d *prometheus.Desc, value float64, labels ...string) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, append([]string{front}, labels...)...)
		})
	}
}

func (p *Pressure) export(gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	for _, h := range membudget.Holders() {
		gauge(memoryDesc, float64(p.Memory[h].Peak), h.String())
		gauge(memoryLimitDesc, float64(p.Memory[h].Limit), h.String())
	}
	gauge(mailboxDesc, float64(p.Loop.MaxQueued))
	gauge(delayDesc, p.Loop.MaxWait.Seconds(), "mailbox")
	gauge(delayDesc, p.Loop.LongestBatch.Seconds(), "batch")
	gauge(delayDesc, p.Net.LongestRead.Seconds(), "read")
}

func (c *Counts) export(counter func(d *prometheus.Desc, value float64, label string)) {
	for name, n := range map[string]uint64{"accepted": c.Accepted, "served": c.Served, "refused": c.Refused, "failed": c.Failed,
		"client_gone": c.ClientGone, "rejected": c.Rejected} {
		counter(requestsDesc, float64(n), name)
	}
	for i, n := range c.Causes {
		counter(causesDesc, float64(n), aspenshed.Cause(i).String())
	}
	for i, name := range outcomeNames {
		if name != "" {
			counter(attemptsDesc, float64(c.Outcomes[i]), name)
			counter(probesDesc, float64(c.ProbeOutcomes[i]), name)
		}
	}
	for i, n := range c.MemberStates {
		counter(statesDesc, float64(n), aspenshed.MemberPhase(i).String())
	}
	for i, n := range c.PrimaryChanges {
		counter(primaryDesc, float64(n), aspenshed.RoleSource(i).String())
	}
	for i, n := range c.ClientCloses {
		counter(closesDesc, float64(n), request.CloseReason(i).String())
	}
	s := &c.SlowStart
	for name, n := range map[string]int{"sent": s.Attempts, "retries": s.Retries, "served": s.Served, "rejected": s.Rejected,
		"unreachable": s.Unreachable} {
		counter(slowStartDesc, float64(n), name)
	}
	counter(slowStartSecDesc, s.Work, "sent")
	counter(slowStartSecDesc, s.ServedWork, "served")
}
