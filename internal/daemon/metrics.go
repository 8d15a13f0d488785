package daemon

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"aspenshed/internal/dataplane/accounting"
)

// Metrics returns the counters of all fronts in the Prometheus text format.
func (d *Daemon) Metrics() (string, error) {
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(accounting.Metrics{Read: d.readCounts, ReadPressure: d.readPressure}); err != nil {
		return "", err
	}
	families, err := registry.Gather()
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
			return "", err
		}
	}
	return out.String(), nil
}

// readCounts returns the counts of each front, by its wire protocol.
func (d *Daemon) readCounts() map[string]accounting.Counts {
	return readFronts(d, func(f *Front) accounting.Counts { return f.Pipeline.Accounting.Counts })
}

// readPressure returns the pressure on each front, by its wire protocol.
func (d *Daemon) readPressure() map[string]accounting.Pressure {
	return readFronts(d, func(f *Front) accounting.Pressure { return f.Pipeline.Accounting.LastPressure })
}

// readFronts reads a value of each front on the event loop.
func readFronts[T any](d *Daemon, read func(*Front) T) map[string]T {
	values := map[string]T{}
	d.RunOnLoop(func() {
		for _, f := range d.Fronts {
			values[f.Wire] = read(f)
		}
	})
	return values
}
