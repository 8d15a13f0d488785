package logread

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const one = `0.1 time="10:00:01.000" level=info msg=counts live=1
0.2 time="10:00:01.300" level=debug msg="attempt ended" begun_ms=0 class=1 detail="53300 no \"room\"" id=q1 lay_ms=0 member=s-1 outcome=full role=0 took_ms=2
0.3 time="10:00:01.400" level=debug msg="attempt ended" begun_ms=5 class=1 detail= id=q1 lay_ms=7 member=s-2 outcome=served role=2 took_ms=40
0.3 time="10:00:01.400" level=debug msg="request ended" attempts=2 class=1 group=4 id=q1 left_ms=10 reason= took_ms=45 verdict=served
0.4 time="10:00:03.000" level=debug msg="request ended" attempts=0 class=0 group=4 id=q2 left_ms=80 reason="try again" took_ms=80 verdict=refused
0.5 time="10:00:03.000" level=debug msg="request ended" attempts=0 class=0 group=4 id=q4 left_ms=160 reason="try again" took_ms=0 verdict=refused
0.5 time="10:00:03.100" level=debug msg="request en`

const two = `{"class":1,"id":"q1","level":"debug","member":"s-1","msg":"attempt ended","outcome":"timed_out","time":"2026-12-01T10:00:01.200Z","took_ms":9}
{"attempts":1,"class":1,"id":"q1","level":"debug","msg":"request ended","time":"2026-12-01T10:00:01.200Z","took_ms":9,"verdict":"failed"}
{"attempts":`

func logs(t *testing.T) string {
	dir := t.TempDir()
	for name, text := range map[string]string{"n1.log": one, "n2.log": two, "n3.txt": one} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestFollowOneRequestOverGateways(t *testing.T) {
	path, err := Follow(logs(t), "q1")
	if err != nil || len(path) != 5 {
		t.Fatalf("%v: %v", err, path)
	}
	if path[0].Gateway != "n2" || path[2].Gateway != "n1" || path[2].Fields["detail"] != `53300 no "room"` ||
		path[4].Fields["verdict"] != "served" || path[4].At != 10*time.Hour+1400*time.Millisecond {
		t.Errorf("%+v", path)
	}
}

func TestEndsByClassAndCause(t *testing.T) {
	ends, err := Ends(logs(t))
	want := []End{{"0", "refused at once", 1, 0.5}, {"0", "refused unsent, after 50% of its time", 1, 0.5},
		{"1", "failed, 1 sent", 1, 0.5}, {"1", "served", 1, 0.5}}
	if err != nil || len(ends) != len(want) {
		t.Fatalf("%v: %v", err, ends)
	}
	for i := range want {
		if ends[i] != want[i] {
			t.Errorf("%+v, want %+v", ends[i], want[i])
		}
	}
}

func TestMembersByTime(t *testing.T) {
	spans, err := Members(logs(t), time.Second)
	if err != nil || len(spans) != 2 || spans[0].Full != 1 || spans[0].Silent != 1 || spans[1].Served != 1 || spans[1].Median != 40 {
		t.Errorf("%v: %+v", err, spans)
	}
	if _, err := Members(t.TempDir(), time.Second); err == nil {
		t.Error("a folder without logs passed")
	}
	if _, err := Members(logs(t), 0); err == nil {
		t.Error("a stretch of no time passed")
	}
}
