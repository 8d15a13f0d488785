package membership

import (
	"strings"
	"testing"

	"aspenshed"
)

func newView(ids ...string) (v View) {
	v.CommitIndex = 100
	for _, id := range ids {
		name, non := strings.CutSuffix(id, "*")
		v.Servers = append(v.Servers, Server{name, name + ":1", !non})
	}
	return v
}

// A join takes one configuration change at a time, and a joining instance that fails blocks others for joinTimeout
// only.
func TestJoinsAreSerialized(t *testing.T) {
	var m StateMachine
	pending := newView("a", "b")
	pending.ChangePending = true
	for i, x := range []struct {
		at    int64
		v     View
		id    string
		app   uint64
		empty bool
		want  Action
		done  bool
	}{
		{1, newView("a", "b"), "c", 0, true, AddNonvoter, false},
		{2, pending, "c", 0, true, NoAction, false},
		{3, newView("a", "b", "c*"), "d", 0, true, NoAction, false},   // c is joining
		{4, newView("a", "b", "c*"), "c", 50, false, NoAction, false}, // c lags too far behind
		{5, newView("a", "b", "c*"), "c", 95, false, Promote, false},
		{6, newView("a", "b", "c"), "c", 100, false, NoAction, true},
		{7, newView("a", "b", "c"), "d", 0, true, AddNonvoter, false},
		{8, newView("a", "b", "c", "d*"), "e", 0, true, NoAction, false},
		{8 + int64(joinTimeout), newView("a", "b", "c", "d*"), "e", 0, true, AddNonvoter, false}, // d has failed
		{9 + int64(joinTimeout), newView("a", "b", "c"), "b", 0, true, Remove, false},            // b lost its disk
	} {
		m.checkJoin(t, i, x.at, x.v, x.id, x.app, x.empty, x.want, x.done)
	}
	if v := m.Leave(1e12, newView("a"), "a"); v.Refused == "" || v.Action != NoAction {
		t.Errorf("removal of the last voter: %+v", v)
	}
	if v := m.Join(1e12, newView("a", "b"), "x", "a:1", 0, true); v.Refused == "" || v.Retry {
		t.Errorf("join with another instance's address: %+v", v)
	}
}

func (m *StateMachine) checkJoin(t *testing.T, i int, at int64, v View, id string, applied uint64, empty bool, want Action, done bool) {
	t.Helper()
	got := m.Join(aspenshed.Nanos(at), v, id, id+":1", applied, empty)
	if got.Action != want || got.Done != done {
		t.Errorf("step %d: %+v, want %v", i, got, want)
	}
}
