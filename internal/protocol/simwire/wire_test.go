package simwire

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"aspenshed"
)

const setupJSON = `{"balancers":2,"rank":1,"zone":1,"quantumNs":5000000,"discovery":"on_request",
"classes":[{"name":"a","effect":"free","aimNs":1,"giveUpNs":2,"group":"all","worth":1},
{"name":"b","effect":"single_shot","aimNs":1,"giveUpNs":2,"group":"all","worth":1}],
"familyInfo":{"baseTimeNs":1000,"readLevel":["bounded","write"],"lagAllowedNs":[7,0],"tokenMode":"remembered","checks":"wait","novel":1},
"limits":{"sendCap":3,"probes":true},"telemetry":{"columns":["x0","heat"],"source":"probe"},"brandNew":{"x":1}}`

func decode(t *testing.T, d *Decoder, line string) Batch {
	t.Helper()
	b, err := d.Decode([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestProvision(t *testing.T) {
	b := decode(t, NewDecoder(), `{"clockNs":5,"items":[{"op":"provision","driver":2,"seed":18446744073709551615,"setup":`+setupJSON+`}]}`)
	st := b.Items[0].Start
	if st == nil || st.Seed != 18446744073709551615 || b.Items[0].Instance != 2 || b.Now != 5 {
		t.Fatalf("%+v", b)
	}
	s := st.Settings
	if s.Classes[0].Consistency != aspenshed.BoundedStaleness || s.Classes[0].MaxStaleness != 7 || s.Classes[1].RetrySafety != aspenshed.Unsafe || !s.TrackSessionWrites ||
		!s.MembersCheckStaleness || !s.WatchDiscovery || s.MaxAttempts != 3 || !s.MayProbe || s.PositionEpoch != 1000 {
		t.Errorf("%+v", s)
	}
	got := strings.Join(s.UnknownKeys, ",")
	if got != "brandNew,familyInfo.novel,report column heat" {
		t.Errorf("unknown: %s", got)
	}
}

func TestEvents(t *testing.T) {
	d := NewDecoder()
	decode(t, d, `{"clockNs":1,"items":[{"op":"provision","driver":0,"seed":1,"setup":`+setupJSON+`}]}`)
	b := decode(t, d, `{"clockNs":2,"items":[
{"op":"later","driver":0},
{"op":"order","driver":0,"ticket":"t","remainingNs":9,"qos":1,"connKey":"k","owner":2,"sinceWriteMs":412.5,"cluster":11,"isRetry":true,"novel":1},
{"op":"answer","driver":0,"ticket":"t","stand":25486,"complete":true,"seqNo":1,"stateCode":"empty","rttNs":8,"member":"m","load":{"x0":6.204,"x1":0,"backlog":3}},
{"op":"statusBack","driver":0,"member":"m","stateCode":"novel","rttNs":4},
{"op":"abandoned","driver":0,"ticket":"t"},{"op":"timer","driver":0,"label":"s"},{"op":"sync","driver":0,"scope":"broken"},
{"op":"down","driver":0}]}`)
	want := []aspenshed.Event{
		aspenshed.Request{ID: "t", Class: 1, Group: 11, Tenant: 2, Session: "k", Remaining: 9, SinceCommit: 412500000, IsRetry: true},
		aspenshed.AttemptResult{ID: "t", Attempt: 1, Member: "m", Outcome: aspenshed.Ineligible, Final: true, Duration: 8, Role: aspenshed.RoleReplica,
			Position: 1000 + 6371*1e6, Report: aspenshed.Report{HasPosition: true, Position: 1000 + 6204000000, HasRole: true,
				HasQueued: true, Queued: 3}},
		aspenshed.ProbeResult{Member: "m", Outcome: aspenshed.UnknownOutcome, Duration: 4},
		aspenshed.RequestWithdrawn{ID: "t"}, aspenshed.TimerFired{Label: "s"}, aspenshed.DiscoveryFailed{}, nil,
	}
	if len(b.Items) != len(want) {
		t.Fatalf("%d items, want %d", len(b.Items), len(want))
	}
	for i, w := range want {
		if b.Items[i].Event != w {
			t.Errorf("item %d: %+v, want %+v", i, b.Items[i].Event, w)
		}
	}
	if !b.Items[6].Stop {
		t.Error("down is not a stop")
	}
}

// A list number is resolved in the order of the events, also within a batch.
func TestListNumbersAreReused(t *testing.T) {
	b := decode(t, NewDecoder(), `{"clockNs":1,"items":[
{"op":"list","list":0,"entries":[{"member":"a","state":"U","units":2,"leader":1,"cluster":3,"az":1,"upSinceNs":4}]},
{"op":"sync","driver":0,"scope":"stale_copy","gen":1,"list":0},
{"op":"list","list":0,"entries":[{"member":"b","state":"L"},{"member":"c","state":"D"}]},
{"op":"sync","driver":1,"scope":"patch","gen":2,"list":0}]}`)
	first, second := b.Items[0].Event.(aspenshed.MemberList), b.Items[1].Event.(aspenshed.MemberList)
	if first.Members[0] != (aspenshed.Member{ID: "a", State: aspenshed.Up, Weight: 2, Primary: true, Group: 3, Zone: 1, StartedAt: 4}) || !first.Cached || !first.Complete {
		t.Errorf("%+v", first)
	}
	if len(second.Members) != 2 || second.Members[0].State != aspenshed.Draining || second.Members[1].State != aspenshed.Removed || second.Complete {
		t.Errorf("%+v", second)
	}
}

func TestBadInputNamesTheField(t *testing.T) {
	for line, field := range map[string]string{
		`{"items":[]}`:                                       "clockNs",
		`{"clockNs":1}`:                                      "items",
		`{"clockNs":"x","items":[]}`:                         "clockNs",
		`{"clockNs":1,"items":[{"a":1}]}`:                    "items[0].op",
		`{"clockNs":1,"items":[{"op":"timer","driver":0}]}`:  "items[0].label",
		`{"clockNs":1,"items":[{"op":"timer","label":"x"}]}`: "items[0].driver",
		`{"clockNs":1,"items":[{"op":"order","driver":0,"ticket":"t","remainingNs":"1","qos":0,"cluster":1}]}`: "items[0].remainingNs",
		`{"clockNs":1,"items":[{"op":"order","driver":0,"ticket":"t","remainingNs":1,"cluster":1}]}`:           "items[0].qos",
		`{"clockNs":1,"items":[{"op":"sync","driver":0,"scope":"whole","list":9}]}`:                            "items[0].list",
		`{"clockNs":1,"items":[{"op":"list","list":0,"entries":[{"state":"U"}]}]}`:                             "items[0].entries[0].member",
		`{"clockNs":1,"items":[{"op":"list","list":0,"entries":[{"member":"m","state":"Q"}]}]}`:                "items[0].entries[0].state",
		`{"clockNs":1,"items":[{"op":"provision","driver":0,"seed":1,"setup":{"classes":3}}]}`:                 "items[0].setup.classes",
	} {
		_, err := NewDecoder().Decode([]byte(line))
		var fe *FieldError
		if !errors.As(err, &fe) || fe.Field != field {
			t.Errorf("%s: %v, want field %s", line, err, field)
		}
	}
	if _, err := NewDecoder().Decode([]byte("nonsense")); err == nil {
		t.Error("nonsense was taken for a batch")
	}
}

func TestReplies(t *testing.T) {
	got := string(AppendReply(nil, []InstanceAction{
		{3, aspenshed.Send{ID: "t", Member: "m:1", Deadline: 9}}, {3, aspenshed.Refuse{ID: "t", RetryAfter: 5}}, {3, aspenshed.Fail{ID: "t"}},
		{3, aspenshed.Cancel{ID: "t", Attempt: 2}}, {3, aspenshed.SetTimer{After: 7, Label: "s"}}, {3, aspenshed.Probe{Member: "m"}},
		{3, aspenshed.CloseIdleConnections{Member: "m"}}, {3, aspenshed.Watch{}}, {3, aspenshed.LogMessage{Text: "a \"b\"\n"}},
	}, []Fault{{4, "boom"}}))
	want := `{"do":[{"op":"attempt","driver":3,"ticket":"t","abandonAtNs":9,"member":"m:1"},` +
		`{"op":"bounce","driver":3,"ticket":"t","retryInNs":5},{"op":"finishError","driver":3,"ticket":"t"},` +
		`{"op":"undoSend","driver":3,"ticket":"t","seqNo":2},{"op":"arm","driver":3,"waitNs":7,"label":"s"},` +
		`{"op":"probe","driver":3,"member":"m"},{"op":"closeIdle","driver":3,"member":"m"},` +
		`{"op":"subscribe","driver":3,"on":true},{"op":"trace","driver":3,"msg":"a \"b\"\n"},` +
		`{"op":"fault","driver":4,"msg":"boom"}]}` + "\n"
	if got != want {
		t.Errorf("got  %swant %s", got, want)
	}
	if !json.Valid([]byte(got)) {
		t.Error("not JSON")
	}
	if empty := string(AppendReply(nil, nil, nil)); empty != "{\"do\":[]}\n" {
		t.Errorf("empty reply: %q", empty)
	}
}

// Guards rounds, windows and calls to discovery, which go by the number of routers.
func TestNumberOfRouters(t *testing.T) {
	for given, want := range map[string]int{`{}`: 1, `{"balancers":0}`: 1, `{"balancers":1}`: 1, `{"balancers":80}`: 80,
		`{"balancers":-3}`: 0, `{"balancers":2.5}`: 0, `{"balancers":"many"}`: 0, `{"balancers":1e30}`: 0} {
		s, err := parseSettings([]byte(given), "settings.")
		if want > 0 && (err != nil || s.Routers != want) {
			t.Errorf("%s: %d routers, %v; want %d", given, s.Routers, err, want)
		}
		if want == 0 && (err == nil || !strings.Contains(err.Error(), "settings.balancers")) {
			t.Errorf("%s: %v does not name the field", given, err)
		}
	}
}
