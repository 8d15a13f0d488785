package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"aspenshed/internal/controlplane/store"
	"aspenshed/internal/daemon"
)

const clusterName = "scale"

// Instance runs one daemon: as a process, or within a test.
type Instance interface {
	Start(deployPath string) error
	Kill() error // immediately, like a crash; it can be started again
	PID() int
}

// ProcessInstance runs `aspenshed serve` as a process.
type ProcessInstance struct {
	Command Command // without the arguments of serve
	cmd     *exec.Cmd
}

// Start starts the daemon with a deploy file. Its log is written to the file's directory.
func (p *ProcessInstance) Start(deployPath string) error {
	log, err := os.OpenFile(filepath.Join(filepath.Dir(deployPath), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := p.Command
	command.Args = append(append([]string(nil), command.Args...), "serve", "--log-level", "warn", "--deploy", deployPath)
	p.cmd = command.exec()
	p.cmd.Stderr = log
	// The daemon must not outlive its runner.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// Kill kills the process and waits for it.
func (p *ProcessInstance) Kill() error {
	if p.cmd == nil {
		return nil
	}
	err := p.cmd.Process.Kill()
	_ = p.cmd.Wait() // the error is that it was killed
	p.cmd = nil
	return err
}

// PID returns the process ID, or 0 if the daemon is not running.
func (p *ProcessInstance) PID() int {
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Node is one daemon of the installation: a voter or a real gateway.
type Node struct {
	ID          string
	Dir         string
	Address     string // replication
	Service     string // commands of other instances
	Subscribers string // control streams
	Front       string // PostgreSQL front
	Instance    Instance
}

func newNode(dir, id string, instance Instance) (*Node, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Dir: filepath.Join(dir, id), Instance: instance, Address: addresses[0], Service: addresses[1],
		Subscribers: addresses[2], Front: addresses[3]}
	return n, os.MkdirAll(n.Dir, 0o700)
}

func (n *Node) deployPath() string { return filepath.Join(n.Dir, "aspenshed.yaml") }

func (n *Node) socket() string { return filepath.Join(n.Dir, "s") }

// Start starts the daemon.
func (n *Node) Start() error { return n.Instance.Start(n.deployPath()) }

// Status queries the status of the daemon's store.
func (n *Node) Status() (s store.Status, err error) {
	response, err := daemon.CallAdmin(n.socket(), daemon.AdminRequest{Command: "status"})
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(response, &s)
}

// Rollout queries a voter for the rollout of a revision among the subscribers of all voters.
func (n *Node) Rollout(rev uint64) (r store.RolloutReport, err error) {
	response, err := daemon.CallAdmin(n.socket(), daemon.AdminRequest{Command: "rollout", Revision: rev})
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(response, &r)
}

// Usage returns the resource usage of the daemon's process.
func (n *Node) Usage() (Usage, error) { return ReadUsage(n.Instance.PID()) }

const deployFrontTemplate = `postgres:
  listen: %s
  inventory: inventory.csv
  clients: 200
  links: 100
  classes:
    - {name: report, read: any, aim: 750ms, give_up: 2s, worth: 2, effect: safe}
    - {name: order, read: write, aim: 750ms, give_up: 5s, worth: 6, late_worth: 0.5, effect: unsafe}
  attempts: 10
  connect_timeout: 250ms
  idle_close: 60s
  client_idle: 10m
`

const deployVoterTemplate = `admin: {socket: s}
store:
  cluster: %s
  id: %s
  address: %s
  service: %s
  subscribers: %s
  data_dir: data
  peers:
%s`

const deployGatewayTemplate = `admin: {socket: s}
store:
  cluster: %s
  id: %s
  subscribe: [%s]
  region: %s
  zone: %s
`

// writeVoterConfig writes the configuration of a voter, which has no front.
func (n *Node) writeVoterConfig(voters []*Node) error {
	peers := ""
	for _, v := range voters {
		peers += fmt.Sprintf("    - {id: %s, address: %s, service: %s}\n", v.ID, v.Address, v.Service)
	}
	return n.writeDeploy(fmt.Sprintf(deployVoterTemplate, clusterName, n.ID, n.Address, n.Service, n.Subscribers, peers))
}

func (n *Node) writeDeploy(text string) error {
	return os.WriteFile(n.deployPath(), []byte(text), 0o600)
}

// writeGatewayConfig writes the configuration of a real gateway. Its own inventory lists the databases that serve
// its clients.
func (n *Node) writeGatewayConfig(servers []string, zone Zone, databases []Database) error {
	store := fmt.Sprintf(deployGatewayTemplate, clusterName, n.ID, strings.Join(servers, ", "), RegionName(zone.Region), zone.Name)
	if err := n.writeDeploy(fmt.Sprintf(deployFrontTemplate, n.Front) + store); err != nil {
		return err
	}
	inventory := []byte("id,address,site,group,kind,state\n")
	for _, d := range databases {
		inventory = fmt.Appendf(inventory, "%s,%s,%s,%d,%s,in_service\n", d.ID, d.Address, zones[0].Name, d.Group, databaseKind)
	}
	return os.WriteFile(filepath.Join(n.Dir, "inventory.csv"), inventory, 0o600)
}

// leaderOf returns the voter that reports itself as leader, or nil if there is none.
func leaderOf(voters []*Node) *Node {
	for _, v := range voters {
		if v.Instance.PID() == 0 {
			continue
		}
		if s, err := v.Status(); err == nil && s.Leader == s.ID {
			return v
		}
	}
	return nil
}

const voterStartTimeout = 60 * time.Second // for voters to elect a leader
