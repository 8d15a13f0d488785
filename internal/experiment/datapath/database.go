package datapath

import (
	"fmt"

	"aspenshed"

	"aspenshed/internal/experiment/standin"
)

// machineState is the state of a database's machine.
type machineState int

const (
	running  machineState = iota
	refusing              // the process has ended: connections break and are refused
	silent                // the machine is down: nothing responds
)

// loadCounts counts the load that gateways put on a database.
type loadCounts struct{ handshakes, probes, statements int }

// database is a simulated database: standin's model without sockets.
type database struct {
	id          string
	group       int
	model       standin.Model
	state       machineState
	connections []*dbConnection // open connections
	loadCounts
}

// addGroups adds databases in groups; the first of each group is its primary.
func (w *simulation) addGroups(groups, size int) {
	for i := range groups * size {
		w.databases = append(w.databases, &database{id: fmt.Sprintf("db-%05d", i), group: i / size,
			model: standin.NewModel(limits(), i%size == 0)})
	}
}

// member returns the database's entry of the member list.
func (d *database) member(startedAt aspenshed.Nanos) aspenshed.Member {
	return aspenshed.Member{ID: d.id, Address: d.id, Group: d.group, Weight: 1, State: aspenshed.Up, StartedAt: startedAt, Primary: d.model.Primary}
}

func (w *simulation) memberList() (l aspenshed.MemberList) {
	l.Complete = true
	for _, d := range w.databases {
		l.Members = append(l.Members, d.member(0))
	}
	return l
}

// totalLoad sums the load counts and open connections of all databases.
func (w *simulation) totalLoad() (all loadCounts, connections int) {
	for _, d := range w.databases {
		all.handshakes += d.handshakes
		all.probes += d.probes
		all.statements += d.statements
		connections += len(d.connections)
	}
	return all, connections
}

// fail takes a database down. Gateways notice at once only if its process ends and the kernel closes its connections.
func (w *simulation) fail(d *database, failure machineState) {
	d.state, d.model.Primary = failure, false
	if failure == refusing {
		w.breakConnections(d)
	}
}

// breakConnections breaks all connections of a database.
func (w *simulation) breakConnections(d *database) {
	broken := d.connections
	d.connections = nil
	for _, l := range broken {
		l.index = -1
		l.gateway.after(oneWayDelay, l.connectionBroken)
	}
}

// restartCold restarts a database cold and notifies all gateways.
func (w *simulation) restartCold(d *database) {
	w.breakConnections(d)
	d.model.Start(int64(w.clock.now))
	for _, g := range w.gateways {
		g.pipeline.UpdateMembers(aspenshed.MemberList{Members: []aspenshed.Member{d.member(w.clock.now)}})
	}
}
