package logread

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
	"aspenshed/internal/stage/book"
)

const inJSON = `{"class":1,"id":"q1","level":"debug","member":"s-1","msg":"attempt ended","outcome":"timed_out","time":"2026-12-01T10:00:01.200Z","took_ms":9}
{"attempts":1,"class":1,"id":"q1","level":"debug","msg":"request ended","time":"2026-12-01T10:00:01.200Z","took_ms":9,"verdict":"failed"}
{"attempts":`

type still nc.Nanos

func (c still) Now() nc.Nanos { return nc.Nanos(c) }

// booked is what the program itself writes, behind a platform's prefix, with a line that was cut off.
func booked() string {
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	b := book.New(core.NewLoop(still(80e6)), log.WithTime(time.Date(2026, 12, 1, 10, 0, 1, 4e8, time.UTC)))
	ask := func(id string, class, attempts int, arrived nc.Nanos) *core.Request {
		return &core.Request{Query: core.Query{Name: id, Class: class}, Attempts: attempts, Arrived: arrived, Deadline: 160e6}
	}
	q := ask("q1", 1, 2, 35e6)
	b.Attempt(q, "s-1", core.Result{Outcome: nc.Full, Detail: `53300 no "room"`})
	b.Attempt(q, "s-2", core.Result{Outcome: nc.Served, Took: 40e6})
	b.Ended(q, core.Final{Verdict: core.Served})
	b.Ended(ask("q2", 0, 0, 0), core.Final{Verdict: core.Refused, Reason: "try again"})
	b.Ended(ask("q4", 0, 0, 80e6), core.Final{Verdict: core.Refused})
	return "0.2 " + strings.ReplaceAll(out.String(), "\n", "\n0.3 ") + `time="10:00:03.100" level=debug msg="request en`
}

// One request over two gateways, ends by class and cause, members by time.
func TestLogsOfTwoGateways(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"n1.log": booked(), "n2.log": inJSON, "n3.txt": inJSON} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path, err := Follow(dir, "q1")
	if err != nil || len(path) != 5 || path[0].Gateway != "n2" || path[2].Fields["detail"] != `53300 no "room"` ||
		path[4].Fields["verdict"] != "served" || path[4].At != 10*time.Hour+1400*time.Millisecond {
		t.Errorf("%v: %+v", err, path)
	}
	ends, err := Ends(dir)
	if got := fmt.Sprint(ends, err); got != "[{0 refused at once 1 0.5} {0 refused unsent, after 50% of its time 1 0.5} "+
		"{1 failed, 1 sent 1 0.5} {1 served 1 0.5}] <nil>" {
		t.Error(got)
	}
	spans, err := Members(dir, time.Second)
	if err != nil || len(spans) != 2 || spans[0].Full != 1 || spans[0].Silent != 1 || spans[1].Served != 1 || spans[1].Median != 40 {
		t.Errorf("%v: %+v", err, spans)
	}
}
