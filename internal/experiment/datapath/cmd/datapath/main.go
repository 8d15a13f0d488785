// Command datapath measures the data path and writes the results as a run for docs/capacity.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/experiment/datapath"
)

func main() {
	o := datapath.Options{Out: os.Stderr}
	output := flag.String("output", "", "output file of the run, in JSON; empty: standard output")
	flag.StringVar(&o.Only, "only", "", "name of the only experiment to run: "+strings.Join(datapath.Names(), ", "))
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of all random numbers")
	flag.BoolVar(&o.Short, "short", false, "run reduced experiments, whose figures are not for the page")
	flag.Parse()
	logrus.SetLevel(logrus.ErrorLevel)
	if err := run(o, *output); err != nil {
		fmt.Fprintln(os.Stderr, "datapath:", err)
		os.Exit(1)
	}
}

func run(o datapath.Options, output string) error {
	commit, err := measuredCommit()
	if err != nil {
		return err
	}
	r, err := datapath.Run(o)
	if err != nil {
		return err
	}
	r.Commit, r.Machine = commit, machine()
	r.Command = "go run ./internal/experiment/datapath/cmd/datapath " + strings.Join(os.Args[1:], " ")
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if output == "" {
		_, err = os.Stdout.Write(b)
		return err
	}
	return os.WriteFile(output, b, 0o644)
}

// measuredCommit returns the commit of the working directory's repository, with the suffix "-dirty" if Go sources
// differ.
func measuredCommit() (string, error) {
	head, err := exec.Command("git", "rev-parse", "--short=7", "HEAD").Output()
	if err != nil {
		return "", fmt.Errorf("git rev-parse: %w", err)
	}
	changed, err := exec.Command("git", "status", "--porcelain", "--", "*.go", "go.mod").Output()
	if err != nil {
		return "", fmt.Errorf("git status: %w", err)
	}
	commit := strings.TrimSpace(string(head))
	if len(changed) > 0 {
		commit += "-dirty"
	}
	return commit, nil
}

// machine describes the machine's cores and memory.
func machine() string {
	text := fmt.Sprintf("%d cores", runtime.NumCPU())
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return text
	}
	var kilobytes float64
	if _, err := fmt.Sscanf(string(b), "MemTotal: %f kB", &kilobytes); err != nil {
		return text
	}
	return fmt.Sprintf("%s, %.0f GB", text, kilobytes*1024/1e9)
}
