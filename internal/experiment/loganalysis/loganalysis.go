// Package loganalysis reads the debug logs of many gateways: it traces one request across all of them, counts requests
// by result, and counts attempts by member and time.
package loganalysis

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const maxLineBytes = 1 << 20

// The log messages that are read: updates of the member list, and events of requests, which carry the request's id.
const (
	discoveryMessage    = "discovery told"
	attemptEndedMessage = "attempt ended"
	requestEndedMessage = "request ended"
)

var requestMessages = []string{"request queued", "attempt started", attemptEndedMessage, requestEndedMessage}

// Line is a line of a gateway's log about a request or about an update of the member list.
type Line struct {
	Gateway   string
	TimeOfDay time.Duration `json:"At"` // since midnight
	Msg       string
	Fields    map[string]string
}

// Number returns a field's value as an integer; 0 if it is absent or no integer.
func (l Line) Number(name string) int {
	n, _ := strconv.Atoi(l.Fields[name])
	return n
}

// ReadDir calls f for the lines of all *.log files of a directory, file by file.
func ReadDir(dir string, f func(Line)) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no *.log files", dir)
	}
	if err != nil {
		return err
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = Read(file, strings.TrimSuffix(filepath.Base(name), ".log"), f)
		if err = errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Read calls f for each line of a gateway's log about requests or the member list. It skips other lines, a platform's
// prefix of a line, and a truncated last line.
func Read(r io.Reader, gateway string, f func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		if !slices.ContainsFunc(append(requestMessages, discoveryMessage), func(m string) bool { return strings.Contains(text, m) }) {
			continue
		}
		l := Line{Gateway: gateway, Fields: parseFields(text)}
		at, err := time.Parse("15:04:05.000", timeOfDay(l.Fields["time"]))
		if l.Msg = l.Fields["msg"]; err != nil || l.Msg != discoveryMessage && (l.Fields["id"] == "" || !slices.Contains(requestMessages, l.Msg)) {
			continue
		}
		l.TimeOfDay = time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute +
			time.Duration(at.Second())*time.Second + time.Duration(at.Nanosecond())
		f(l)
	}
	return s.Err()
}

// timeOfDay returns the time of day of a timestamp in either of the formats that the program logs.
func timeOfDay(t string) string {
	if _, day, ok := strings.Cut(t, "T"); ok && len(day) >= 12 {
		return day[:12]
	}
	return t
}

func parseFields(text string) map[string]string {
	out := map[string]string{}
	if at := strings.IndexByte(text, '{'); at >= 0 && !strings.Contains(text[:at], "=") {
		var v map[string]any
		if json.Unmarshal([]byte(text[at:]), &v) == nil {
			for k, x := range v {
				out[k] = fmt.Sprint(x)
			}
		}
		return out
	}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			out[string(d.Key())] = string(d.Value())
		}
	}
	return out
}

// TraceRequest returns all log lines of one request, in order of time.
func TraceRequest(dir, id string) (lines []Line, err error) {
	err = ReadDir(dir, func(l Line) {
		if l.Fields["id"] == id {
			lines = append(lines, l)
		}
	})
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.TimeOfDay, b.TimeOfDay) })
	return lines, err
}

// ResultCount counts the requests of a class that ended with the same cause.
type ResultCount struct {
	Class, Cause string
	Count        int
	Share        float64 // of the class's requests
}

// Cause describes how a request ended: its verdict, the number of attempts and how long it was queued.
func Cause(l Line) string {
	verdict, tries, took := l.Fields["verdict"], l.Number("attempts"), l.Number("took_ms")
	switch {
	case verdict == "served":
		return verdict
	case tries > 0:
		return fmt.Sprintf("%s, %d sent", verdict, min(tries, 3))
	case took < 3:
		return verdict + " at once"
	}
	return fmt.Sprintf("%s unsent, after %d0%% of its time", verdict, 10*took/max(took+l.Number("left_ms"), 1))
}

// CountResults counts finished requests by class and cause, the most frequent cause of a class first.
func CountResults(dir string) (out []ResultCount, err error) {
	counts, classTotals := map[ResultCount]int{}, map[string]int{}
	err = ReadDir(dir, func(l Line) {
		if l.Msg == requestEndedMessage {
			counts[ResultCount{Class: l.Fields["class"], Cause: Cause(l)}]++
			classTotals[l.Fields["class"]]++
		}
	})
	for e, n := range counts {
		e.Count, e.Share = n, float64(n)/float64(classTotals[e.Class])
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b ResultCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return out, err
}

// MemberInterval counts the attempts at one member in one interval by outcome.
type MemberInterval struct {
	Member                       string
	From                         time.Duration
	Served, Full, Silent, Others int
	MedianMs                     int `json:"Median"` // of the response times
	responseTimes                []int
}

// CountByMember counts attempts by member and interval.
func CountByMember(dir string, interval time.Duration) (out []MemberInterval, err error) {
	if interval <= 0 {
		return nil, errors.New("loganalysis: interval must be positive")
	}
	type key struct {
		member string
		from   time.Duration
	}
	spans := map[key]*MemberInterval{}
	err = ReadDir(dir, func(l Line) {
		if l.Msg != attemptEndedMessage {
			return
		}
		k := key{l.Fields["member"], l.TimeOfDay.Truncate(interval)}
		s := spans[k]
		if s == nil {
			s = &MemberInterval{Member: k.member, From: k.from}
			spans[k] = s
		}
		switch l.Fields["outcome"] {
		case "served":
			s.Served++
			s.responseTimes = append(s.responseTimes, l.Number("took_ms"))
		case "full":
			s.Full++
		case "timed_out", "cancelled":
			s.Silent++
		default:
			s.Others++
		}
	})
	for _, s := range spans {
		if slices.Sort(s.responseTimes); len(s.responseTimes) > 0 {
			s.MedianMs = s.responseTimes[len(s.responseTimes)/2]
		}
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b MemberInterval) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.From, b.From))
	})
	return out, err
}

// LateAttempt is an attempt that began after the first notification that its member is leaving, at a gateway that had
// not been notified of the member's return.
type LateAttempt struct {
	Gateway, ID, Member string
	StartedAt           time.Duration `json:"Begun"`
	SinceFirstNotice    time.Duration `json:"Fleet"`  // since the first gateway was notified
	NotNotified         bool          `json:"Untold"` // this gateway had not been notified before the attempt
}

// LateAttempts returns the attempts that began more than after later than the first notification that their member is
// leaving, by any gateway's clock, the latest first. Whether an attempt breaks a rule depends on the time at which the
// notification counted as received at its own gateway.
func LateAttempts(dir string, after time.Duration) (out []LateAttempt, err error) {
	firstNotified := map[string]time.Duration{}             // time of the first notification that a member is leaving
	notifications := map[[2]string]map[time.Duration]bool{} // by gateway and member: time of each notification; true: leaving
	err = ReadDir(dir, func(l Line) {
		if l.Msg != discoveryMessage {
			return
		}
		for field, leaves := range map[string]bool{"leaving": true, "up": false} {
			for _, m := range strings.Fields(l.Fields[field]) {
				if at, known := firstNotified[m]; leaves && (!known || l.TimeOfDay < at) {
					firstNotified[m] = l.TimeOfDay
				}
				k := [2]string{l.Gateway, m}
				if notifications[k] == nil {
					notifications[k] = map[time.Duration]bool{}
				}
				notifications[k][l.TimeOfDay] = leaves
			}
		}
	})
	if err != nil {
		return nil, err
	}
	err = ReadDir(dir, func(l Line) {
		m := l.Fields["member"]
		at, leaves := firstNotified[m]
		startedAt := l.TimeOfDay - time.Duration(l.Number("took_ms"))*time.Millisecond
		if l.Msg != attemptEndedMessage || !leaves || startedAt <= at+after {
			return
		}
		x := LateAttempt{Gateway: l.Gateway, ID: l.Fields["id"], Member: m, StartedAt: startedAt, SinceFirstNotice: startedAt - at, NotNotified: true}
		for notified, leaves := range notifications[[2]string{l.Gateway, m}] {
			switch {
			case notified < at || notified > startedAt:
			case leaves:
				x.NotNotified = false
			default: // the member is up again, and this gateway had been notified
				return
			}
		}
		out = append(out, x)
	})
	slices.SortFunc(out, func(a, b LateAttempt) int {
		return cmp.Or(cmp.Compare(b.SinceFirstNotice, a.SinceFirstNotice), cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.ID, b.ID))
	})
	return out, err
}
