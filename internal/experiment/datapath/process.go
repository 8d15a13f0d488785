package datapath

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"aspenshed/internal/daemon"
	"aspenshed/internal/experiment/loopback"
	"aspenshed/internal/experiment/standin"
)

const (
	clockTicks   = 100 // USER_HZ: the unit of processor time in /proc
	buildTimeout = 2 * time.Minute
	startTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// buildGateway builds the measured program into a directory and returns its path.
func buildGateway(dir string) (string, error) {
	program := filepath.Join(dir, "aspenshed")
	out, err := exec.Command("go", "build", "-o", program, "aspenshed/cmd/aspenshed").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return program, nil
}

// gatewayProcess is a gateway process; its stand-in databases run in this process.
type gatewayProcess struct {
	cmd     *exec.Cmd
	group   *standin.Group
	address string
	log     bytes.Buffer
}

// startGateway starts a gateway with one group of stand-in databases and returns once it has served a statement.
func startGateway(program, dir string, l standin.Limits, databases int) (p *gatewayProcess, err error) {
	var ids []string
	for i := range databases {
		ids = append(ids, fmt.Sprint("db-", i))
	}
	p = &gatewayProcess{}
	if p.group, err = standin.NewGroup(standin.Postgres, l, ids...); err != nil {
		return nil, err
	}
	if p.address, err = loopback.HoldAddress(); err != nil {
		return nil, errors.Join(err, p.stop())
	}
	inventory := []byte("id,address,site,group,kind,state\n")
	for _, d := range p.group.DBs() {
		inventory = fmt.Appendf(inventory, "%s,%s,site-1,1,std-4core,in_service\n", d.ID, d.Address())
	}
	deploy := filepath.Join(dir, "aspenshed.yaml")
	text := strings.Replace(serviceConfig, "127.0.0.1:0", p.address, 1)
	err = errors.Join(os.WriteFile(filepath.Join(dir, "inventory.csv"), inventory, 0o600), os.WriteFile(deploy, []byte(text), 0o600))
	if err != nil {
		return nil, errors.Join(err, p.stop())
	}
	p.cmd = exec.Command(program, "serve", "--deploy", deploy, "--log-level", "error")
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.cmd.Start(); err != nil {
		p.cmd = nil
		return nil, errors.Join(err, p.stop())
	}
	if _, err = daemon.QueryUntilServed(p.address, "first", startTimeout); err != nil {
		stopErr := p.stop() // p.log may be read only after the process has ended
		return nil, errors.Join(fmt.Errorf("gateway did not serve a statement: %w\n%s", err, p.log.String()), stopErr)
	}
	return p, nil
}

// stop kills the gateway, if started, and stops its databases.
func (p *gatewayProcess) stop() error {
	if p.cmd != nil {
		ended := make(chan error, 1)
		go func() { ended <- p.cmd.Wait() }()
		_ = p.cmd.Process.Kill()
		select {
		case <-ended: // killed by the signal
		case <-time.After(stopTimeout):
			return errors.New("gateway process did not exit after SIGKILL")
		}
	}
	if p.group != nil {
		p.group.Stop()
	}
	return nil
}

// usage is the resource use of a process: totals since its start and current values.
type usage struct {
	cores       float64 // processor seconds
	resident    float64 // bytes
	descriptors float64
	bytes       float64 // read and written, mostly at sockets
	calls       float64 // system calls that read or write
}

// usage reads the resource use of the process from /proc.
func (p *gatewayProcess) usage() (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userTime, systemTime = 11, 12 // field indexes after the command name
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return u, err
		}
		u.cores += ticks / clockTicks
	}
	status, err := readKeyedNumbers(dir + "status")
	if err != nil {
		return u, err
	}
	u.resident = status["VmRSS"] * 1024
	counts, err := readKeyedNumbers(dir + "io")
	if err != nil {
		return u, err
	}
	u.bytes, u.calls = counts["rchar"]+counts["wchar"], counts["syscr"]+counts["syscw"]
	open, err := os.ReadDir(dir + "fd")
	u.descriptors = float64(len(open))
	return u, err
}

// readKeyedNumbers reads a file with lines of the form "key: number ...".
func readKeyedNumbers(path string) (map[string]float64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(b)) {
		key, rest, _ := strings.Cut(line, ":")
		if first := strings.Fields(rest); len(first) > 0 {
			if v, err := strconv.ParseFloat(first[0], 64); err == nil {
				values[key] = v
			}
		}
	}
	return values, nil
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(b), " ")
	return first
}
