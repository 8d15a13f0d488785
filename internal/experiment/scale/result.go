package scale

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"

	"aspenshed/internal/experiment/measure"
)

// Roles of processes in series and events.
const (
	RoleGateway = "gateway"
	RoleHollow  = "hollow gateways" // one process with many hollow gateways
	RoleVoter   = "voter"
)

// newSeries returns a series with its linear fit. With fewer than two points the fit is zero.
func newSeries(s measure.Series, points []measure.Point) measure.Series {
	s.Points = points
	if fit, err := measure.LeastSquares(points); err == nil {
		s.Fit = fit
	}
	return s
}

// Failed returns the names of the checks that did not pass.
func Failed(r measure.Run) (names []string) {
	for _, c := range r.Checks {
		if !c.Passed {
			names = append(names, c.Name)
		}
	}
	return names
}

// machineDescription describes the machine, with the load average at the start of the run.
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

// firstField returns the first field after a prefix of a line of a file, or an empty string if there is none.
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

// commitName returns the commit checked out in the working directory, with "-dirty" if the program's sources
// differ from it. Sources of the experiments do not count, as they only measure.
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
