package scenario

import (
	"testing"

	"aspenshed/internal/protocol/mysqlwire"
)

// Guards "one attempt out per request" and "never run twice" where a connection to a backend must prepare a client's statement
// before it runs it: neither the welcome of a new connection nor its answer to the preparation, if it comes after the attempt
// was given up, has anything executed. The execution goes out once, on a connection that has prepared the statement itself.
func TestALateConnectionExecutesNothingPrepared(t *testing.T) {
	for name, late := range map[string]struct {
		hold     func(*Member)
		prepares int64 // that a sees: one before each execution that could leave, and none on a connection that came up late
	}{
		"its welcome":                   {func(m *Member) { m.hold(true) }, 1},
		"its answer to the preparation": {func(m *Member) { m.HoldNextPrepare.Store(true) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(t, mysqlKit{}, []string{"a=primary", "b=replica"})
			p.say("x send booking", "a expect booking", "a send served", "x expect served") // the primary is known
			k := newTalk(p, mysqlwire.Login{User: "web", AuthResponse: []byte("pass")}, 0)
			k.next()
			k.ask(mysqlwire.ComStmtPrepare, "INSERT INTO entries VALUES (?) /* c=booking,cluster=1,d=5000 */")
			k.next()
			k.next()
			a := p.members["a"]
			p.on(func() { p.pipeline.Dispatch.ClosePool("a") }) // the execution needs a new connection
			a.Prepares.Store(0)
			p.recount()
			p.sent++
			late.hold(a)
			_ = k.conn.Write(mysqlwire.Execute{NullBitmap: []byte{0}, Types: []byte{0xfd, 0}, Values: []byte("\x01r")}.Packet(1))
			p.until("the execution's connection", func() bool { return p.pipeline.Dispatch.PendingSends() > 0 })
			p.until("what is late", func() bool { return a.Holding() })
			p.say("wait 1500ms")
			if n := len(a.Got); n != 0 {
				t.Errorf("a got %d executions while it was silent", n)
			}
			p.say("a send go", "wait 2s", "a expect booking", "a send served")
			if b := k.next(); b[0] != 1 {
				t.Errorf("answered %q", b)
			}
			p.say("wait 500ms")
			p.on(func() {
				c := p.pipeline.Accounting.Counts
				if n := len(a.Got) + len(p.members["b"].Got); n != 0 || c.Served != 2 || a.Prepares.Load() != late.prepares {
					t.Errorf("%d more executions, %d preparations, counts %+v", n, a.Prepares.Load(), c)
				}
				p.loop.Quit()
			})
		})
	}
}
