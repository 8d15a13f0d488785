package scenario

import (
	"syscall"
	"testing"
	"time"

	"aspenshed"

	"aspenshed/internal/experiment/sysfault"
)

// countStates returns how often the router has seen any member in a state.
func (r *runner) countStates(phases ...aspenshed.MemberPhase) (count uint64) {
	r.runOnLoop(func() {
		for _, phase := range phases {
			count += r.pipeline.Accounting.Counts.MemberStates[phase]
		}
	})
	return count
}

// forEachErrno runs a test for each wire and error, with two members that are known and a connection in use.
func forEachErrno(t *testing.T, errors []syscall.Errno, test func(t *testing.T, r *runner, errno syscall.Errno)) {
	for wire, harness := range harnesses {
		for _, errno := range errors {
			t.Run(wire+"/"+errno.Error(), func(t *testing.T) {
				r := newRunner(t, harness, []string{"a=primary", "b=replica"})
				r.runLines("x send booking", "a expect booking", "a send served", "x expect served",
					"w send booking d=5000", "a expect booking")
				test(t, r, errno)
				r.runOnLoop(r.loop.Quit)
			})
		}
	}
}

// Guards members against being taken for down, or for restarted, when this machine can't open connections.
func TestLocalConnectFaultIsNotBlamedOnMembers(t *testing.T) {
	local := append(append([]syscall.Errno(nil), sysfault.ResourceErrors...), sysfault.RouteErrors...)
	forEachErrno(t, local, func(t *testing.T, r *runner, errno syscall.Errno) {
		r.system.Inject(sysfault.Fault{Call: sysfault.Connect, Errno: errno})
		r.connectFails = true
		r.runLines("y send timetable d=5000", "z send booking d=5000", "wait 400ms")
		r.system.Clear()
		r.connectFails = false
		r.runLines("a send served", "w expect served")
		r.answerAll("y", "z")
		if n := r.countStates(aspenshed.PhaseEjected, aspenshed.PhaseWarming); n > 0 {
			t.Errorf("%d members seen as ejected or restarted", n)
		}
	})
}

// answerAll has members serve whatever they receive until the clients have their responses, which must be good.
func (r *runner) answerAll(clients ...string) {
	r.t.Helper()
	for end := time.Now().Add(eventTimeout); len(clients) > 0; {
		select {
		case got := <-r.clients[clients[0]].Results():
			if clients = clients[1:]; got != "served" {
				r.t.Fatalf("got %s", got)
			}
			continue
		default:
		}
		for _, m := range r.members {
			select {
			case s := <-m.Statements:
				s.Reply("served")
			default:
			}
		}
		r.waitUntil("dials", func() bool { return r.pipeline.Dispatch.PendingSends() == 0 }) // they take no clock time
		r.clock.nanos.Add(int64(ms))
		r.runOnLoop(func() {})
		if time.Now().After(end) {
			r.t.Fatalf("no response to %v", clients)
		}
	}
}

// A member whose own address has no route is given up for others while this machine opens connections to them.
func TestAddressWithoutRouteIsBlamedOnItsMember(t *testing.T) {
	forEachErrno(t, []syscall.Errno{syscall.ENETUNREACH, syscall.EADDRNOTAVAIL}, func(t *testing.T, r *runner, errno syscall.Errno) {
		r.system.Inject(sysfault.Fault{Call: sysfault.Connect, Errno: errno, Address: r.addresses["b"]})
		r.connectFails = true
		r.runLines("y send timetable d=5000", "z send booking d=5000", "wait 100ms")
		r.connectFails = false
		r.runLines("a send served", "w expect served")
		r.answerAll("y", "z")
	})
}

// Guards against a gateway that stops accepting, or spins, when accept fails for a moment.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	const failures = 4
	forEachErrno(t, sysfault.AcceptErrors, func(t *testing.T, r *runner, errno syscall.Errno) {
		// Each client was accepted by a call, and one more is under way: its goroutine may not have begun it yet.
		before := len(r.clients) + 1
		r.waitUntil("accept", func() bool { return r.system.Calls(sysfault.Accept) >= before })
		r.system.Inject(sysfault.Fault{Call: sysfault.Accept, Errno: errno, Count: failures})
		r.runLines("a send served", "w expect served")
		for _, client := range []string{"x1", "x2", "x3"} { // the first is accepted by the call that was under way
			r.runLines(client+" send booking", "a expect booking", "a send served", client+" expect served")
		}
		r.waitUntil("accept", func() bool { return r.system.Calls(sysfault.Accept) >= before+failures+3 })
		if n := r.system.Calls(sysfault.Accept) - before; n != failures+3 {
			t.Errorf("accept was called %d times, want %d", n, failures+3)
		}
	})
}

// Requests and responses arrive whole however little the kernel reads and writes at a time.
func TestShortReadsAndWrites(t *testing.T) {
	for wire, harness := range harnesses {
		for _, size := range []int{1, 2, 3, 5, 7} {
			t.Run(wire, func(t *testing.T) {
				r := newRunner(t, harness, []string{"a=primary", "b=replica"})
				r.system.Inject(sysfault.Fault{Call: sysfault.Read, MaxBytes: size})
				r.system.Inject(sysfault.Fault{Call: sysfault.Write, MaxBytes: size})
				r.runLines("x send booking", "a expect booking", "a send served", "x expect served",
					"x send timetable", "any expect timetable", "any send served", "x expect served")
				r.runOnLoop(r.loop.Quit)
			})
		}
	}
}

// Guards bookings against being sent again, and reads against being given up, when a connection breaks under its response.
func TestReadErrorAfterTheStatementWasSent(t *testing.T) {
	forEachErrno(t, sysfault.BrokenErrors, func(t *testing.T, r *runner, errno syscall.Errno) {
		r.system.Inject(sysfault.Fault{Call: sysfault.Read, Errno: errno, Count: 1, Address: r.addresses["a"]})
		r.runLines("a send served", "w expect failed")
		if n := len(r.members["a"].Statements) + len(r.members["b"].Statements); n != 0 {
			t.Errorf("%d statements sent again", n)
		}
		r.runLines("y send timetable d=5000", "any expect timetable")
		r.system.Inject(sysfault.Fault{Call: sysfault.Read, Errno: errno, Count: 1, Address: r.addresses[r.anyMember.Name]})
		r.runLines("any send served", "wait 100ms", "any expect timetable", "any send served", "y expect served")
	})
}

// A statement whose last byte the kernel did not take was not sent: it is sent on another connection.
func TestWriteErrorBeforeTheLastByte(t *testing.T) {
	forEachErrno(t, sysfault.BrokenErrors, func(t *testing.T, r *runner, errno syscall.Errno) {
		r.runLines("a send served", "w expect served")
		r.system.Inject(sysfault.Fault{Call: sysfault.Write, Errno: errno, Count: 1})
		r.runLines("w send booking d=5000", "a expect booking", "a send served", "w expect served")
		r.runOnLoop(func() {
			if c := r.pipeline.Accounting.Counts; c.Served != 3 || c.Failed != 0 {
				t.Errorf("%d served, %d failed", c.Served, c.Failed)
			}
		})
	})
}
