package discovery

import (
	"fmt"
	"testing"

	"aspenshed"
)

// drainOf is a list that has s-1 drain, as one chunk.
func drainOf(generation int) string {
	return chunk(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"h:1","lifecycle":"terminating"}]}`, generation) + "\n")
}

// dribble writes text a byte at a time; so much time passes after each.
func (g *rig) dribble(s *server, text string, pause aspenshed.Nanos) {
	for i := range text {
		_ = s.conn.Write([]byte(text[i : i+1]))
		g.clock.now += pause
		g.Loop.RunPending()
	}
}

const (
	slowly    = aspenshed.Nanos(15e6) // a list takes 2.1 s
	tooSlowly = aspenshed.Nanos(60e6) // and more than 8 s
	lastBrace = len("}\n\r\n")        // an object is whole with it
)

// Guards drains at a SIGHUP that meets a list whose bytes come one by one, at either watch: what comes whole counts in its
// order, what does not is no sign of life and keeps no watch open, and the former address is heard until the new one has told.
func TestAMoveWhileAListDribbles(t *testing.T) {
	scripts := map[string]func(*testing.T, *rig){
		"at the old watch, whole in time": func(t *testing.T, g *rig) {
			old, list := g.watched(), drainOf(43)
			half := len(list) / 2
			g.dribble(old, list[:half], slowly)
			next := g.move(t, 42)
			g.dribble(old, list[half:], slowly)
			g.until("the drain", func() bool { return g.states["s-1"] == aspenshed.Draining })
			_ = next.conn.Write([]byte(head))
			next.member(44, false, false, "s-2", "in_service")
			g.until("the new watch's list", func() bool { return g.Version == 44 && g.previous == nil })
			g.unbroken(t)
		},
		"at the old watch, cut off by the new one": func(t *testing.T, g *rig) {
			old, list := g.watched(), drainOf(43)
			half := len(list) / 2
			g.dribble(old, list[:half], slowly)
			next := g.move(t, 42)
			_ = next.conn.Write([]byte(head))
			next.member(44, false, false, "s-2", "in_service")
			g.until("the new watch's list", func() bool { return g.Version == 44 && g.previous == nil })
			g.dribble(old, list[half:], slowly)
			next.member(45, false, false, "s-3", "in_service")
			g.until("the next list", func() bool { return g.Version == 45 })
			if g.states["s-1"] != aspenshed.Up {
				t.Error("a watch that had ended was heard")
			}
			g.unbroken(t)
		},
		"at the old watch, too slowly, while the new one says nothing": func(t *testing.T, g *rig) {
			old, list := g.watched(), drainOf(43)
			half := len(list) / 2
			g.dribble(old, list[:half], slowly)
			g.move(t, 42)
			moved := g.clock.now
			g.dribble(old, list[half:len(list)-lastBrace], tooSlowly)
			if g.previous != nil || g.Version != 42 || g.states["s-1"] != aspenshed.Up {
				t.Errorf("the old watch is %v, s-1 %d at %d", g.previous, g.states["s-1"], g.Version)
			}
			g.brokenOnce(t, moved)
		},
		"at the new watch, whole in time": func(t *testing.T, g *rig) {
			old, list := g.watched(), drainOf(43)
			next := g.move(t, 42)
			_ = next.conn.Write([]byte(head))
			g.dribble(next, list[:len(list)-lastBrace], slowly)
			if g.previous == nil {
				t.Fatal("half a list of the new watch ended the old one")
			}
			old.member(44, false, false, "s-2", "in_service")
			g.until("the old watch's list", func() bool { return g.Version == 44 })
			g.dribble(next, list[len(list)-lastBrace:], 0)
			g.until("the old watch's end", func() bool { return g.previous == nil })
			next.member(45, false, false, "s-1", "terminating")
			g.until("the new watch's list", func() bool { return g.Version == 45 })
			if g.states["s-1"] != aspenshed.Draining || g.states["s-2"] != aspenshed.Up {
				t.Errorf("states %v", g.states)
			}
			g.unbroken(t)
		},
		"at the new watch, too slowly": func(t *testing.T, g *rig) {
			old, list := g.watched(), drainOf(43)
			next := g.move(t, 42)
			moved := g.clock.now
			_ = next.conn.Write([]byte(head))
			g.dribble(next, list[:len(list)-lastBrace], tooSlowly)
			if g.Version != 42 || g.states["s-1"] != aspenshed.Up {
				t.Errorf("half a list counted: %v at %d", g.states, g.Version)
			}
			g.brokenOnce(t, moved)
			old.conn.Close()
		},
		"at the first watch, before it has told anything": func(t *testing.T, g *rig) {
			g.Watch()
			first, list := g.asked(), drainOf(42)
			_ = first.conn.Write([]byte(head))
			half := len(list) / 2
			g.dribble(first, list[:half], slowly)
			next := g.move(t, 41)
			if g.previous != nil {
				t.Error("a watch that had told nothing is kept")
			}
			g.dribble(first, list[half:], slowly)
			_ = next.conn.Write([]byte(head))
			next.member(43, true, false, "s-2", "in_service")
			g.until("the new watch's list", func() bool { return g.Version == 43 })
			if _, heard := g.states["s-1"]; heard {
				t.Error("a watch that had ended was heard")
			}
			g.unbroken(t)
		},
	}
	for name, script := range scripts {
		for _, keep := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pushed %t", name, keep), func(t *testing.T) {
				g := newRig(t)
				g.Pushed = keep
				script(t, g)
			})
		}
	}
}

// move has the watcher watch at another address, and returns the call that comes there, from that version on.
func (g *rig) move(t *testing.T, version int) *server {
	t.Helper()
	g.SetAddress(g.service().Addr())
	next := g.asked()
	if want := fmt.Sprintf("GET /v1/servers?stream=1&index=%d HTTP/1.1", version); next.line != want {
		t.Errorf("asked %q, want %q", next.line, want)
	}
	return next
}

func (g *rig) unbroken(t *testing.T) {
	t.Helper()
	if g.broke != 0 || g.current == nil {
		t.Errorf("broke %d times, watch %v", g.broke, g.current)
	}
}

// brokenOnce checks that silence has ended the call of a move. Where lists are asked for, the module was told once, with
// when the news that it may have missed binds; where they are pushed, the call is repeated at the new address.
func (g *rig) brokenOnce(t *testing.T, moved aspenshed.Nanos) {
	t.Helper()
	if !g.Pushed {
		if g.broke != 1 || g.last.LastHeard != moved-moveGrace || g.current != nil {
			t.Errorf("broke %d times, last %+v, want it heard at %d", g.broke, g.last, moved-moveGrace)
		}
		return
	}
	g.clock.now += maxRedialPause
	if next := g.asked(); next.line != "GET /v1/servers?stream=1&index=42 HTTP/1.1" || g.broke != 0 {
		t.Errorf("asked %q, broke %d times", next.line, g.broke)
	}
}
