package loganalysis

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/accounting"
	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

type fixedClock aspenshed.Nanos

func (c fixedClock) Now() aspenshed.Nanos { return aspenshed.Nanos(c) }

// sampleLog returns lines written by the program's own accounting, with a platform's prefix and a truncated last line.
func sampleLog(f logrus.Formatter) string {
	var out strings.Builder
	log := &logrus.Logger{Out: &out, Formatter: f, Level: logrus.DebugLevel, Hooks: logrus.LevelHooks{}}
	b := accounting.New(eventloop.NewLoop(fixedClock(80e6)), log.WithTime(time.Date(2026, 12, 1, 10, 0, 1, 4e8, time.UTC)))
	newRequest := func(id string, class, attempts int, arrived aspenshed.Nanos) *request.Request {
		return &request.Request{Query: request.Query{ExternalID: id, Class: class}, Attempts: attempts, ArrivedAt: arrived, Deadline: 160e6}
	}
	q := newRequest("q1", 1, 2, 35e6)
	b.CountAttempt(q, "s-1", request.Result{Outcome: aspenshed.Overloaded, Detail: `53300 no "room"`})
	b.CountAttempt(q, "s-2", request.Result{Outcome: aspenshed.Served, Elapsed: 40e6})
	b.CountResponse(q, request.Response{Status: request.Served})
	b.CountResponse(newRequest("q2", 0, 0, 0), request.Response{Status: request.Refused, Reason: "try again"})
	b.CountResponse(newRequest("q4", 0, 0, 80e6), request.Response{Status: request.Refused})
	return "0.2 " + strings.ReplaceAll(out.String(), "\n", "\n0.3 ") + `time="10:00:03.100" level=debug msg="request en`
}

// Traces one request across two gateways and counts results by class and cause, and attempts by member and time.
func TestTraceAndCountsAcrossGateways(t *testing.T) {
	dir := t.TempDir()
	for name, f := range map[string]logrus.Formatter{
		"n1.log": &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"},
		"n2.log": &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}, "n3.txt": &logrus.TextFormatter{}} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(sampleLog(f)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path, err := TraceRequest(dir, "q1")
	if err != nil || len(path) != 6 || path[0].Gateway != "n1" || path[0].Fields["detail"] != `53300 no "room"` ||
		path[5].Gateway != "n2" || path[5].Fields["verdict"] != "served" || path[5].TimeOfDay != 10*time.Hour+1400*time.Millisecond {
		t.Errorf("%v: %+v", err, path)
	}
	ends, err := CountResults(dir)
	intervals, intervalErr := CountByMember(dir, time.Second)
	if got := fmt.Sprint(ends, err, intervals, intervalErr); got != "[{0 refused at once 2 0.5} {0 refused unsent, after 50% of its time 2 0.5} "+
		"{1 served 2 1}] <nil> [{s-1 10h0m1s 0 2 0 0 0 []} {s-2 10h0m1s 2 0 0 0 40 [40 40]}] <nil>" {
		t.Error(got)
	}
}

// Attempts at a member after the first notification that it is leaving: by a gateway that was notified, one notified
// later, one never notified, and one notified of the member's return.
func TestLateAttemptsToLeavingMembers(t *testing.T) {
	dir := t.TempDir()
	for name, lines := range map[string][]string{
		"n1": {"10:00:01.000 leaving s-1 s-2", "10:00:03.500 sent early s-1 2600", "10:00:03.500 sent late s-2 400"},
		"n2": {"10:00:04.500 sent late s-1 500", "10:00:05.000 leaving s-1"}, "n3": {"10:00:09.000 sent late s-1 0", "10:00:09.000 sent well s-9 0"},
		"n4": {"10:00:08.000 up s-1", "10:00:09.000 sent back s-1 10"}} {
		var text string
		for _, l := range lines {
			f := strings.Fields(l)
			if text += `time="` + f[0] + `" level=debug `; f[1] != "sent" {
				text += `msg="discovery told" ` + f[1] + `="` + strings.Join(f[2:], " ") + "\"\n"
			} else {
				text += fmt.Sprintf("msg=\"attempt ended\" id=%s member=%s took_ms=%s\n", f[2], f[3], f[4])
			}
		}
		if err := os.WriteFile(filepath.Join(dir, name+".log"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	late, err := LateAttempts(dir, 2*time.Second)
	if got := fmt.Sprint(late, err); got != "[{n3 late s-1 10h0m9s 8s true} {n2 late s-1 10h0m4s 3s true} {n1 late s-2 10h0m3.1s 2.1s false}] <nil>" {
		t.Error(got)
	}
}
