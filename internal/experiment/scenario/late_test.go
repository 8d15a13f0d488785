package scenario

import (
	"testing"

	"aspenshed/internal/protocol/mysqlwire"
)

// Guards "one attempt out per request" and "never run twice" where a connection to a backend must prepare a client's statement
// before it runs it: neither the welcome of a new connection nor its answer to the preparation, if it comes after the attempt
// was given up, has anything executed. The execution goes out once, on a connection that has prepared the statement itself.
func TestLateConnectionExecutesNoPreparedStatement(t *testing.T) {
	for name, late := range map[string]struct {
		hold     func(*Member)
		prepares int64 // that a sees: one before each execution that could leave, and none on a connection that came up late
	}{
		"its welcome":                   {func(m *Member) { m.setHold(true) }, 1},
		"its answer to the preparation": {func(m *Member) { m.HoldFromNextPrepare.Store(true) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRunner(t, mysqlHarness{}, []string{"a=primary", "b=replica"})
			r.runLines("x send booking", "a expect booking", "a send served", "x expect served") // the primary is known
			cl := newRawMySQLClient(r, mysqlwire.Login{User: "web", AuthResponse: []byte("pass")}, 0)
			cl.nextPacket()
			cl.command(mysqlwire.ComStmtPrepare, "INSERT INTO entries VALUES (?) /* c=booking,cluster=1,d=5000 */")
			cl.nextPacket()
			cl.nextPacket()
			a := r.members["a"]
			r.runOnLoop(func() { r.pipeline.Dispatch.ClosePool("a") }) // the execution needs a new connection
			a.PrepareCount.Store(0)
			r.resetSubmitted()
			r.submitted++
			late.hold(a)
			_ = cl.conn.Write(mysqlwire.Execute{NullBitmap: []byte{0}, Types: []byte{0xfd, 0}, Values: []byte("\x01r")}.Packet(1))
			r.waitUntil("the execution's connection", func() bool { return r.pipeline.Dispatch.PendingSends() > 0 })
			r.waitUntil("what is late", func() bool { return a.Holding() })
			r.runLines("wait 1500ms")
			if n := len(a.Statements); n != 0 {
				t.Errorf("a got %d executions while it was silent", n)
			}
			r.runLines("a send go", "wait 2s", "a expect booking", "a send served")
			if b := cl.nextPacket(); b[0] != 1 {
				t.Errorf("answered %q", b)
			}
			r.runLines("wait 500ms")
			r.runOnLoop(func() {
				c := r.pipeline.Accounting.Counts
				if n := len(a.Statements) + len(r.members["b"].Statements); n != 0 || c.Served != 2 || a.PrepareCount.Load() != late.prepares {
					t.Errorf("%d more executions, %d preparations, counts %+v", n, a.PrepareCount.Load(), c)
				}
				r.loop.Quit()
			})
		})
	}
}
