package scale

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"

	"aspenshed/internal/experiment/measure"
)

// The roles that series and events name.
const (
	RoleGateway = "gateway"
	RoleHollow  = "hollow gateways" // a process with many of them
	RoleVoter   = "voter"
)

// newSeries makes a series with its fit. A series of fewer than two points has the zero fit.
func newSeries(s measure.Series, points []measure.Point) measure.Series {
	s.Points = points
	if fit, err := measure.LeastSquares(points); err == nil {
		s.Fit = fit
	}
	return s
}

// Failed names the checks of a run that did not pass.
func Failed(r measure.Run) (names []string) {
	for _, c := range r.Checks {
		if !c.Passed {
			names = append(names, c.Name)
		}
	}
	return names
}

// machineDescription describes where a run takes place, with the load that others put on it at the start.
func machineDescription() string {
	description := fmt.Sprintf("%d cores", runtime.NumCPU())
	if memory := firstField("/proc/meminfo", "MemTotal:"); memory != "" {
		description += ", " + memory + " kB of memory"
	}
	if load := firstField("/proc/loadavg", ""); load != "" {
		description += ", load average " + load + " at the start"
	}
	return description
}

// firstField is the first field behind a prefix of a line of a file; empty: there is none.
func firstField(file, prefix string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(line, prefix)
		if fields := strings.Fields(rest); ok && len(fields) > 0 {
			return fields[0]
		}
	}
	return ""
}

// commitName names the commitName that is checked out in the working folder, with "-dirty" where the program's sources differ from
// it; those of the experiments do not count, as they are what measures.
func commitName() string {
	head, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(head))
	differs := exec.Command("git", "diff", "--quiet", "HEAD", "--", ":/*.go", ":/go.mod", ":!/internal/experiment", ":!/cmd/aspenshed/experiment*")
	if differs.Run() != nil {
		name += "-dirty"
	}
	return name
}
