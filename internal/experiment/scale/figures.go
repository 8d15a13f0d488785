package scale

import (
	"fmt"
	"math"
	"time"

	"aspenshed/internal/experiment/measure"
)

// Operators' limits for the control side of one gateway.
const (
	MaxControlByteRate = 7000        // bytes per second, both directions
	MaxControlCores    = 0.021       // share of a core
	MaxGatewayMemory   = 128_000_000 // bytes
)

// metrics holds the measurements of one steady window by metric name.
type metrics map[string]float64

// metricDefinition describes a metric of a role, which becomes one series.
type metricDefinition struct {
	name, role, y, unit string
}

var metricDefinitions = []metricDefinition{
	{"gateway.bytes", RoleGateway, "control bytes of one gateway, both directions", "B/s"},
	{"gateway.messages", RoleGateway, "control messages of one gateway, both directions", "1/s"},
	{"gateway.cpu", RoleGateway, "processor time of one hollow gateway, less the empty process", "core"},
	{"gateway.memory", RoleGateway, "memory of one hollow gateway, less the empty process", "B"},
	{"gateway.real-cpu", RoleGateway, "processor time of a real gateway, data path under load included", "core"},
	{"gateway.real-memory", RoleGateway, "memory of a real gateway, data path included", "B"},
	{"gateway.in-force-p50", RoleGateway, "from commit to in force, median", "s"},
	{"gateway.in-force-p99", RoleGateway, "from commit to in force, 99th percentile", "s"},
	{"gateway.in-force-max", RoleGateway, "from commit to in force, slowest", "s"},
	{"gateway.snapshot-bytes", RoleGateway, "control bytes of a gateway that starts without state", "B"},
	{"gateway.snapshot-time", RoleGateway, "from a start to the whole state in force, slowest of all that start at once", "s"},
	{"voter.cpu", RoleVoter, "processor time of all voters together", "core"},
	{"voter.cpu-max", RoleVoter, "processor time of the busiest voter", "core"},
	{"voter.memory-max", RoleVoter, "memory of the largest voter", "B"},
	{"voter.bytes-out", RoleVoter, "bytes written by all voters together, sockets and log", "B/s"},
	{"voter.writes", RoleVoter, "system calls that write, of all voters together", "1/s"},
	{"voter.disk-bytes", RoleVoter, "bytes to disk of all voters together", "B/s"},
	{"voter.log-entries", RoleVoter, "entries of the replicated log", "1/s"},
}

// windowMetrics computes the metrics of a window.
func (r *runner) windowMetrics(w *windowResult) metrics {
	f := metrics{"gateway.bytes": w.event.GatewayBytes, "gateway.messages": w.messageRate, "gateway.in-force-p50": w.event.ApplyDelay.P50,
		"gateway.in-force-p99": w.event.ApplyDelay.P99, "gateway.in-force-max": w.event.ApplyDelay.Max, "voter.log-entries": w.logEntryRate}
	f["gateway.cpu"], f["gateway.memory"] = r.hollowGateway(w)
	for _, used := range w.gateways {
		f["gateway.real-cpu"] += used.Cores / float64(len(w.gateways))
		f["gateway.real-memory"] = max(f["gateway.real-memory"], used.Memory)
	}
	for _, used := range w.voters {
		f["voter.cpu"] += used.Cores
		f["voter.cpu-max"] = max(f["voter.cpu-max"], used.Cores)
		f["voter.memory-max"] = max(f["voter.memory-max"], used.Memory)
		f["voter.bytes-out"] += used.Written
		f["voter.writes"] += used.Writes
		f["voter.disk-bytes"] += used.ToDisk
	}
	return f
}

// hollowGateway returns the processor time and memory of one hollow gateway: the usage of all workers divided by
// the number of their gateways. The memory of empty workers is subtracted first.
func (r *runner) hollowGateway(w *windowResult) (cores, memory float64) {
	gateways, workers := 0, 0
	for _, u := range w.event.Roles {
		if u.Role != RoleHollow || u.Gateways == 0 {
			continue
		}
		cores += u.Cores
		memory += u.Memory
		gateways += u.Gateways
		workers++
	}
	if gateways == 0 {
		return 0, 0
	}
	memory -= float64(workers) * float64(r.emptyWorker.Memory)
	return cores / float64(gateways), memory / float64(gateways)
}

// seriesPoints collects the metrics of windows that differ in one parameter.
type seriesPoints struct {
	xs   []float64
	rows []metrics
}

func (p *seriesPoints) add(x float64, f metrics) {
	p.xs = append(p.xs, x)
	p.rows = append(p.rows, f)
}

// series returns one series per metric, named METRIC-by-AXIS. A metric with fewer than two points is left out.
func (p *seriesPoints) series(axis, x, unit, held string) (out []measure.Series) {
	for _, q := range metricDefinitions {
		var points []measure.Point
		for i, row := range p.rows {
			if y, ok := row[q.name]; ok {
				points = append(points, measure.Point{X: p.xs[i], Y: y})
			}
		}
		if len(points) > 1 {
			out = append(out, newSeries(measure.Series{Name: q.name + "-by-" + axis, Role: q.role, X: x, XUnit: unit, Y: q.y, YUnit: q.unit, Conditions: held}, points))
		}
	}
	return out
}

// checkSteadyBounds checks a steady window against the operators' limits.
func (r *runner) checkSteadyBounds(w *windowResult) {
	f := r.windowMetrics(w)
	r.steadyByteRate = w.event.GatewayBytes
	r.run.Checks = append(r.run.Checks,
		atMost("bound: control bytes of a gateway, mean", f["gateway.bytes"], MaxControlByteRate, "B/s", ""),
		atMost("bound: processor time of a hollow gateway's control side", f["gateway.cpu"], MaxControlCores, "core", ""),
		atMost("bound: memory of a hollow gateway's control side", f["gateway.memory"], MaxGatewayMemory, "B", ""),
		atMost("bound: memory of a real gateway, data path included", f["gateway.real-memory"], MaxGatewayMemory, "B", "at light load"))
}

// checkMinuteBound checks the control bytes of an event against the operators' limit, averaged over a minute. A
// window shorter than a minute is extended at the steady rate.
func (r *runner) checkMinuteBound(w *windowResult) {
	seconds := w.total.Window.Seconds()
	inMinute := float64(w.total.MaxGatewayBytes)
	if rest := time.Minute.Seconds() - seconds; rest > 0 {
		inMinute += r.steadyByteRate * rest
	} else {
		inMinute *= time.Minute.Seconds() / seconds
	}
	r.run.Checks = append(r.run.Checks, atMost("bound: "+w.event.Name+": control bytes in its minute, of the gateway with most",
		inMinute/time.Minute.Seconds(), MaxControlByteRate, "B/s", fmt.Sprintf("watched for %.0f s", seconds)))
}

// sublinearGrowthCheck checks that a metric grows less than linearly: that the slope of its logarithm over the
// logarithm of x is below 1.
func sublinearGrowthCheck(name string, all []measure.Series) measure.Check {
	for _, s := range all {
		if s.Name != name {
			continue
		}
		var points []measure.Point
		for _, p := range s.Points {
			points = append(points, measure.Point{X: math.Log(p.X), Y: math.Log(p.Y)})
		}
		fit, err := measure.LeastSquares(points)
		if err != nil {
			return measure.Check{Name: "growth of " + name, Unit: "1", Detail: err.Error()}
		}
		return measure.Check{Name: "growth of " + name, Bound: 1, Value: fit.Slope, Unit: "1", Passed: fit.Slope < 1,
			Detail: "slope between logarithms; 1 would be linear"}
	}
	return measure.Check{Name: "growth of " + name, Unit: "1", Detail: "not measured"}
}

// atMost returns a check that passes if value does not exceed bound.
func atMost(name string, value, bound float64, unit, detail string) measure.Check {
	return measure.Check{Name: name, Bound: bound, Value: value, Unit: unit, Passed: value <= bound, Detail: detail}
}
