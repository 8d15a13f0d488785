package scenario

import (
	"testing"

	"aspenshed/internal/protocol/mysqlwire"
)

// Guards against a second attempt of one request, and a second execution of a write, when a connection to a member must
// prepare a statement first: if the greeting or the prepare response arrives after the attempt was abandoned, nothing
// is executed. The execute command is sent once, on a connection that has prepared the statement itself.
func TestLateConnectionExecutesNoPreparedStatement(t *testing.T) {
	for name, late := range map[string]struct {
		hold func(*Member)
		// prepares is the number of prepare commands that a receives: one before each execution that could be sent, and
		// none on a connection that came up late.
		prepares int64
	}{
		"late greeting":         {func(m *Member) { m.setHold(true) }, 1},
		"late prepare response": {func(m *Member) { m.HoldFromNextPrepare.Store(true) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRunner(t, mysqlHarness{}, []string{"a=primary", "b=replica"})
			// After this exchange the primary is known.
			r.runLines("x send booking", "a expect booking", "a send served", "x expect served")
			cl := newRawMySQLClient(r, mysqlwire.Login{User: "web", AuthResponse: []byte("pass")}, 0)
			cl.nextPacket()
			cl.command(mysqlwire.ComStmtPrepare, "INSERT INTO entries VALUES (?) /* c=booking,cluster=1,d=5000 */")
			cl.nextPacket()
			cl.nextPacket()
			a := r.members["a"]
			r.runOnLoop(func() { r.pipeline.Dispatch.ClosePool("a") }) // so that the execution needs a new connection
			a.PrepareCount.Store(0)
			r.resetSubmitted()
			r.submitted++
			late.hold(a)
			_ = cl.conn.Write(mysqlwire.Execute{NullBitmap: []byte{0}, Types: []byte{0xfd, 0},
				Values: []byte("\x01r")}.Packet(1))
			r.waitUntil("the execution's connection", func() bool { return r.pipeline.Dispatch.PendingSends() > 0 })
			r.waitUntil("the hold", func() bool { return a.Holding() })
			r.runLines("wait 1500ms")
			if n := len(a.Statements); n != 0 {
				t.Errorf("a received %d executions while its writes were held", n)
			}
			r.runLines("a send go", "wait 2s", "a expect booking", "a send served")
			if b := cl.nextPacket(); b[0] != 1 {
				t.Errorf("response %q, want a result set of one column", b)
			}
			r.runLines("wait 500ms")
			r.runOnLoop(func() {
				c := r.pipeline.Accounting.Counts
				if n := len(a.Statements) + len(r.members["b"].Statements); n != 0 || c.Served != 2 ||
					a.PrepareCount.Load() != late.prepares {
					t.Errorf("%d further executions, %d prepare commands, counts %+v", n, a.PrepareCount.Load(), c)
				}
				r.loop.Quit()
			})
		})
	}
}
