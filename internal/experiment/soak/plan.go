package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"aspenshed/internal/experiment/warmup"
)

// Plan is a run that a seed chooses.
type Plan struct {
	Seed            uint64
	Duration        time.Duration // of the load
	Gateways        int
	Databases       int // an even number, in two groups
	Curve           warmup.Curve
	InitialCapacity float64
	WarmUpTime      time.Duration
	Load            float64       // of the capacity of all warm databases
	Retries         int           // of a client after a refusal or failure
	Backoff         time.Duration // before the first of them; doubles
	Leaving         float64       // share of the requests whose client leaves early
	IdleClients     int           // that connect to each gateway and send nothing, or half a command
	Faults          []Fault
	MachineFaults   []MachineFault  // of the gateways' machines
	ClockOffsets    []time.Duration // of each gateway's wall clock; nil: none is wrong
	Troubles        []Trouble       // by other clients
	MemoryMB        int             // limit of a gateway
	Sockets         int             // limit of a gateway's descriptors
	CheckMemory     bool            // a gateway over its limit breaks a rule: not in a binary with the race detector
	Compare         bool            // latencies during the troubles are compared with those before; all requests of a class are equal work
}

// FaultKind is a kind of fault.
type FaultKind int

// The kinds.
const (
	ZoneLost        FaultKind = iota // half of the databases of a zone or all crash, and return cold
	ZoneVanished                     // the same, without a word
	RestartNoGap                     // a database restarts between two lists
	LinksFail                        // connections from all gateways, or one, to databases of a zone are refused
	LinksLate                        // they come up late
	LinksReset                       // new connections are reset
	LinksHold                        // what is sent arrives later, at once
	LinksSilent                      // nothing arrives
	LinksCutUp                       // messages arrive in pieces
	GatewayRestart                   // SIGTERM, at the earliest time SIGKILL, and a new process
	GatewayKilled                    // SIGKILL and a new process
	GatewaySignals                   // SIGHUP in series, some with a bad configuration
	DatabaseDrained                  // a database is listed as terminating
	DiscoveryDown                    // no answers and no watches
	DiscoveryLate                    // changes reach one gateway late
	ReplicaLag                       // replicas of a group stop applying
	Quiet                            // no client sends; a burst follows
	faultKinds      = int(Quiet) + 1
)

var faultNames = [faultKinds]string{"zone lost", "zone vanished", "restart with no gap", "links fail", "links late", "links reset", "links hold",
	"links silent", "links cut up", "gateway restart", "gateway killed", "signals", "drain", "discovery down", "discovery late",
	"replica lag", "quiet"}

func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault of a plan.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Target int // zone, database, gateway or group; -1: all
}

func (f Fault) String() string {
	return fmt.Sprintf("%.1fs %v(%d) for %.1fs", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
}

func (p *Plan) String() string {
	var faults []string
	for _, f := range p.Faults {
		faults = append(faults, f.String())
	}
	for _, f := range p.MachineFaults {
		faults = append(faults, f.String())
	}
	for _, t := range p.Troubles {
		faults = append(faults, t.String())
	}
	if p.ClockOffsets != nil {
		faults = append(faults, fmt.Sprint("clocks off by ", p.ClockOffsets))
	}
	return fmt.Sprintf("seed %d: %d gateways of %d MB and %d descriptors, %d databases warm %v from %.2f in %v, load %.2f, %d retries, leaving %.2f; %s", p.Seed, p.Gateways, p.MemoryMB, p.Sockets,
		p.Databases, p.Curve, p.InitialCapacity, p.WarmUpTime, p.Load, p.Retries, p.Leaving, strings.Join(faults, "; "))
}

// listenAddress returns an address with any free port of a host that only this run uses: a database that is down leaves its
// port, which another run's listener would take.
func (p *Plan) listenAddress() string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+process%250, p.Seed/250%250, 1+p.Seed%250)
}

const (
	minLoadTime = 8 * time.Second // before the first fault: the gateways learn what warm databases do
	tailTime    = 3 * time.Second // without a new fault at the end

	DefaultMemoryMB = 192
	defaultSockets  = 1024
)

// NewPlan returns the plan of a seed. The first fault always makes databases cold.
func NewPlan(seed uint64, duration time.Duration) *Plan {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	seconds := func(a, b float64) time.Duration { return time.Duration(between(a, b) * float64(time.Second)) }
	p := &Plan{Seed: seed, Duration: duration, MemoryMB: DefaultMemoryMB, Sockets: defaultSockets, Gateways: 1 + rng.IntN(4), Databases: 12, Curve: warmup.Curves[rng.IntN(len(warmup.Curves))],
		InitialCapacity: between(0.12, 0.4), WarmUpTime: seconds(9, 16), Load: between(0.3, 0.7), Retries: rng.IntN(8),
		Backoff: seconds(0.02, 0.16), Leaving: between(0, 0.08), IdleClients: rng.IntN(2) * rng.IntN(30)}
	p.Faults = append(p.Faults, Fault{Kind: FaultKind(rng.IntN(2)), At: minLoadTime, For: seconds(3, 5), Target: rng.IntN(len(zones))})
	back := minLoadTime + p.Faults[0].For
	for range 2 + rng.IntN(3) {
		f := Fault{Kind: FaultKind(int(RestartNoGap) + rng.IntN(faultKinds-int(RestartNoGap))), For: seconds(1, 5),
			At: back + seconds(-2, max((duration-back-tailTime).Seconds(), 0)), Target: rng.IntN(8) - 1}
		if f.Kind == GatewayRestart || f.Kind == GatewayKilled { // the load needs a gateway
			f.For = 0
		}
		p.Faults = append(p.Faults, f)
	}
	return p
}
