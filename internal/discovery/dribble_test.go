package discovery

import (
	"fmt"
	"testing"

	"aspenshed"
)

// drainOf is a list in which s-1 is draining, as one chunk.
func drainOf(generation int) string {
	return chunk(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"h:1","lifecycle":"terminating"}]}`, generation) + "\n")
}

// writeSlowly writes text a byte at a time and advances the clock by pause after each.
func (g *fixture) writeSlowly(s *server, text string, pause aspenshed.Nanos) {
	for i := range text {
		_ = s.conn.Write([]byte(text[i : i+1]))
		g.clock.now += pause
		g.Loop.RunPending()
	}
}

const (
	slowly    = aspenshed.Nanos(15e6) // a list takes 2.1 s
	tooSlowly = aspenshed.Nanos(60e6) // and more than 8 s
	lastBrace = len("}\n\r\n")        // completes an object
)

// Guards drains when the address changes while a list arrives byte by byte, at either watch: complete lists count in
// order, an incomplete list doesn't restart the silence timeout, and the former address counts until the new one has
// sent something.
func TestAddressChangeDuringASlowList(t *testing.T) {
	scripts := map[string]func(*testing.T, *fixture){
		"at the old watch, complete in time": func(t *testing.T, g *fixture) {
			old, list := g.openWatch(), drainOf(43)
			half := len(list) / 2
			g.writeSlowly(old, list[:half], slowly)
			next := g.changeAddress(t, 42)
			g.writeSlowly(old, list[half:], slowly)
			g.waitFor("the drain", func() bool { return g.states["s-1"] == aspenshed.Draining })
			_ = next.conn.Write([]byte(head))
			next.sendMember(44, false, false, "s-2", "in_service")
			g.waitFor("the new watch's list", func() bool { return g.Version == 44 && g.previous == nil })
			g.requireNoFailure(t)
		},
		"at the old watch, cut off by the new one": func(t *testing.T, g *fixture) {
			old, list := g.openWatch(), drainOf(43)
			half := len(list) / 2
			g.writeSlowly(old, list[:half], slowly)
			next := g.changeAddress(t, 42)
			_ = next.conn.Write([]byte(head))
			next.sendMember(44, false, false, "s-2", "in_service")
			g.waitFor("the new watch's list", func() bool { return g.Version == 44 && g.previous == nil })
			g.writeSlowly(old, list[half:], slowly)
			next.sendMember(45, false, false, "s-3", "in_service")
			g.waitFor("the next list", func() bool { return g.Version == 45 })
			if g.states["s-1"] != aspenshed.Up {
				t.Error("a watch that had ended was used")
			}
			g.requireNoFailure(t)
		},
		"at the old watch, too slowly, while the new one is silent": func(t *testing.T, g *fixture) {
			old, list := g.openWatch(), drainOf(43)
			half := len(list) / 2
			g.writeSlowly(old, list[:half], slowly)
			g.changeAddress(t, 42)
			moved := g.clock.now
			g.writeSlowly(old, list[half:len(list)-lastBrace], tooSlowly)
			if g.previous != nil || g.Version != 42 || g.states["s-1"] != aspenshed.Up {
				t.Errorf("the old watch is %v, s-1 %d at %d", g.previous, g.states["s-1"], g.Version)
			}
			g.requireOneFailure(t, moved)
		},
		"at the new watch, complete in time": func(t *testing.T, g *fixture) {
			old, list := g.openWatch(), drainOf(43)
			next := g.changeAddress(t, 42)
			_ = next.conn.Write([]byte(head))
			g.writeSlowly(next, list[:len(list)-lastBrace], slowly)
			if g.previous == nil {
				t.Fatal("an incomplete list of the new watch ended the old one")
			}
			old.sendMember(44, false, false, "s-2", "in_service")
			g.waitFor("the old watch's list", func() bool { return g.Version == 44 })
			g.writeSlowly(next, list[len(list)-lastBrace:], 0)
			g.waitFor("the old watch's end", func() bool { return g.previous == nil })
			next.sendMember(45, false, false, "s-1", "terminating")
			g.waitFor("the new watch's list", func() bool { return g.Version == 45 })
			if g.states["s-1"] != aspenshed.Draining || g.states["s-2"] != aspenshed.Up {
				t.Errorf("states %v", g.states)
			}
			g.requireNoFailure(t)
		},
		"at the new watch, too slowly": func(t *testing.T, g *fixture) {
			old, list := g.openWatch(), drainOf(43)
			next := g.changeAddress(t, 42)
			moved := g.clock.now
			_ = next.conn.Write([]byte(head))
			g.writeSlowly(next, list[:len(list)-lastBrace], tooSlowly)
			if g.Version != 42 || g.states["s-1"] != aspenshed.Up {
				t.Errorf("an incomplete list counted: %v at %d", g.states, g.Version)
			}
			g.requireOneFailure(t, moved)
			old.conn.Close()
		},
		"at the first watch, before it has received anything": func(t *testing.T, g *fixture) {
			g.Watch()
			first, list := g.nextCall(), drainOf(42)
			_ = first.conn.Write([]byte(head))
			half := len(list) / 2
			g.writeSlowly(first, list[:half], slowly)
			next := g.changeAddress(t, 41)
			if g.previous != nil {
				t.Error("a watch that had received nothing is kept")
			}
			g.writeSlowly(first, list[half:], slowly)
			_ = next.conn.Write([]byte(head))
			next.sendMember(43, true, false, "s-2", "in_service")
			g.waitFor("the new watch's list", func() bool { return g.Version == 43 })
			if _, known := g.states["s-1"]; known {
				t.Error("a watch that had ended was used")
			}
			g.requireNoFailure(t)
		},
	}
	for name, script := range scripts {
		for _, keep := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pushed %t", name, keep), func(t *testing.T) {
				g := newFixture(t)
				g.Pushed = keep
				script(t, g)
			})
		}
	}
}

// changeAddress moves the watcher to another address and returns the call there, which must resume at that version.
func (g *fixture) changeAddress(t *testing.T, version int) *server {
	t.Helper()
	g.SetAddress(g.startService().Addr())
	next := g.nextCall()
	if want := fmt.Sprintf("GET /v1/servers?stream=1&index=%d HTTP/1.1", version); next.line != want {
		t.Errorf("request %q, want %q", next.line, want)
	}
	return next
}

func (g *fixture) requireNoFailure(t *testing.T) {
	t.Helper()
	if g.failures != 0 || g.current == nil {
		t.Errorf("failed %d times, watch %v", g.failures, g.current)
	}
}

// requireOneFailure checks that silence has ended the call after a change of the address. Unless lists are pushed,
// OnBreak was called once, with the time from which missed updates bind; where they are pushed, the new address is
// called again.
func (g *fixture) requireOneFailure(t *testing.T, moved aspenshed.Nanos) {
	t.Helper()
	if !g.Pushed {
		if g.failures != 1 || g.lastFailure.LastHeard != moved-moveGrace || g.current != nil {
			t.Errorf("failed %d times, last %+v, want last heard at %d", g.failures, g.lastFailure, moved-moveGrace)
		}
		return
	}
	g.clock.now += maxRedialPause
	if next := g.nextCall(); next.line != "GET /v1/servers?stream=1&index=42 HTTP/1.1" || g.failures != 0 {
		t.Errorf("request %q, failed %d times", next.line, g.failures)
	}
}
