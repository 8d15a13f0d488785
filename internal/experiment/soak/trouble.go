package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// TroubleKind is what other clients do to a gateway beside the usual load.
type TroubleKind int

// The kinds.
const (
	SlowWriters    TroubleKind = iota // a crowd that writes large queries but for their ends, leaves and comes again
	HalfMessages                      // clients that stop in the middle of a query and stay
	ManyFields                        // a crowd whose large queries consist of short fields
	AskForTLS                         // a few that ask for encryption again and again
	WithoutID                         // a few that send queries without an id, as fast as they can
	NewClasses                        // the same with ever new names of classes
	EmptyQueries                      // the same with empty queries
	FreshKeys                         // the same with sound reads
	LeaveUnread                       // clients that send many orders at once, leave, and send some of them again
	ResetUnread                       // the same, and their connections are reset
	FloodedByError                    // a few that go on sending after a fatal error
	LargeValues                       // a crowd that reads large values
	SlowReaders                       // clients that ask for many large values at once and read them slowly, or not at all
	troubleKinds   = int(SlowReaders) + 1
)

var troubleNames = [troubleKinds]string{"slow writers", "half messages", "many fields", "ask for TLS", "without id", "new classes", "empty queries",
	"fresh keys", "leave unread", "reset unread", "flooded by error",
	"large values", "slow readers"}

func (k TroubleKind) String() string { return troubleNames[k] }

// TroubleNamed returns the kind with a name.
func TroubleNamed(name string) (TroubleKind, error) {
	for i, n := range troubleNames {
		if n == name {
			return TroubleKind(i), nil
		}
	}
	return 0, fmt.Errorf("unknown trouble %q, not one of: %s", name, strings.Join(troubleNames[:], ", "))
}

// Trouble is what other clients do to one gateway for a while.
type Trouble struct {
	Kind    TroubleKind
	At      time.Duration
	For     time.Duration
	Gateway int
	Clients int
}

func (t Trouble) String() string {
	return fmt.Sprintf("%.1fs %d clients at gateway %d for %.1fs: %v", t.At.Seconds(), t.Clients, t.Gateway, t.For.Seconds(), t.Kind)
}

const (
	fewClients   = 6
	someClients  = 40
	crowdMargin  = 40 // of the connections that a gateway accepts, left to the usual load
	calmTime     = 3 * time.Second
	calmLoad     = 0.35            // of the capacity: databases don't queue
	troubleTime  = 5 * time.Second // of a TroublePlan
	recoveryTime = time.Second     // of a TroublePlan, after its trouble
	minTrouble   = 1500 * time.Millisecond
	maxTrouble   = 6 * time.Second
)

// floodClients are the numbers of clients of a flood that a plan with troubles draws from.
var floodClients = []int{1, fewClients, fewClients, 300}

// memoryLimits are the limits of memory in MB that a plan with troubles draws from.
var memoryLimits = []int{48, 64, 96, 192}

// maxClients is how many client connections a gateway accepts.
func (p *Plan) maxClients() int { return (p.Sockets - 32) * 6 / 10 }

// clientsOf returns how many clients make a kind of trouble.
func (p *Plan) clientsOf(k TroubleKind) int {
	switch k {
	case SlowWriters, ManyFields:
		return p.maxClients() - crowdMargin
	case LargeValues:
		return p.maxClients() / 2
	case HalfMessages, LeaveUnread, ResetUnread, SlowReaders:
		return someClients
	}
	return fewClients
}

// AddTroubles adds troubles by other clients, and a limit of memory, to the plan. What the seed has chosen before stays.
func (p *Plan) AddTroubles() {
	rng := rand.New(rand.NewPCG(p.Seed, 0xc11e))
	p.MemoryMB = memoryLimits[rng.IntN(len(memoryLimits))]
	for range 2 + rng.IntN(3) {
		t := Trouble{Kind: TroubleKind(rng.IntN(troubleKinds)), Gateway: rng.IntN(p.Gateways),
			For: minTrouble + time.Duration(rng.Int64N(int64(maxTrouble-minTrouble)))}
		t.At = time.Second + time.Duration(rng.Int64N(max(int64(p.Duration-t.For-tailTime), 1)))
		if t.Clients = p.clientsOf(t.Kind); t.Clients == fewClients {
			t.Clients = floodClients[rng.IntN(len(floodClients))]
		}
		p.Troubles = append(p.Troubles, t)
	}
}

// TroublePlan returns a plan of one gateway with kinds of trouble and no other fault: a calm time, the troubles, a time
// after them. Each trouble has that many clients; 0: as many as is usual for its kind.
func TroublePlan(seed uint64, memoryMB, clients int, kinds ...TroubleKind) *Plan {
	p := NewPlan(seed, calmTime+troubleTime+recoveryTime)
	p.Gateways, p.Faults, p.IdleClients, p.Leaving, p.Load, p.Retries = 1, nil, 0, 0, calmLoad, 0
	p.MemoryMB, p.Compare = memoryMB, true
	for _, k := range kinds {
		p.Troubles = append(p.Troubles, Trouble{Kind: k, At: calmTime, For: troubleTime, Clients: cmp.Or(clients, p.clientsOf(k))})
	}
	return p
}

// makeTrouble lets the clients of a trouble run until its time is over.
func (r *run) makeTrouble(t Trouble) {
	end := time.Now().Add(t.For)
	play := troubleClients[t.Kind]
	var all sync.WaitGroup
	for i := range t.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c := &troubleClient{run: r, gateway: r.gateways[t.Gateway], index: i, end: end, crowd: t.Clients > fewClients}
			for time.Now().Before(end) {
				if open, _ := c.gateway.isOpen(); !open || !c.connect() {
					time.Sleep(reconnectDelay)
					continue
				}
				play(c)
				c.conn.Close()
				c.rest()
			}
		}()
	}
	all.Wait()
}
