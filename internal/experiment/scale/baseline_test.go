package scale

import (
	"testing"
	"time"
)

func TestBaselineMeasuresAllSeries(t *testing.T) {
	o := BaselineOptions{Instances: []int{1, 3}, IdleDuration: 2500 * time.Millisecond, Writes: 5, Members: []int{20, 200}, Groups: []int{1, 10}, ShortTimeouts: true, Progress: t.Logf}
	run, err := Baseline(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, s := range run.Series {
		if names[s.Name] || len(s.Points) != 2 || s.Fit.R2 == 0 {
			t.Errorf("%+v", s)
		}
		names[s.Name] = true
		switch s.Name {
		case "voter.log-bytes-by-members", "voter.learned-bytes-by-groups", "voter.catalog-bytes-by-groups":
			if s.Fit.Slope <= 0 {
				t.Errorf("%s does not grow: %+v", s.Name, s.Fit)
			}
		}
	}
	if len(names) != 10 {
		t.Errorf("series %v", names)
	}
}
