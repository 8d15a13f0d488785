// Package loganalysis reads the debug lines of many gateways: it follows one request over all of them and counts how
// requests ended, and what members did, by time.
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

// requests and discoveryMessage are the messages that are read: of requests, by their id, and of who was discoveryMessage to leave.
const discoveryMessage = "discovery told"

var requestMessages = []string{"attempt ended", "request ended"}

// Line is one of a gateway's lines about a request or about the member list.
type Line struct {
	Gateway   string
	TimeOfDay time.Duration `json:"At"` // since midnight
	Msg       string
	Fields    map[string]string
}

// Number is a field's value; 0 where it is absent.
func (l Line) Number(name string) int {
	n, _ := strconv.Atoi(l.Fields[name])
	return n
}

// ReadDir hands on the lines of all *.log files of a folder, file by file.
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

// Read hands on what a gateway's log says of requests. Other lines, what a platform puts before a line, and a last line
// that was cut off are passed over.
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

// timeOfDay is the time of day of either form that the program logs.
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

// TraceRequest is all that the gateways say of one request, in the order of time.
func TraceRequest(dir, id string) (path []Line, err error) {
	err = ReadDir(dir, func(l Line) {
		if l.Fields["id"] == id {
			path = append(path, l)
		}
	})
	slices.SortStableFunc(path, func(a, b Line) int { return cmp.Compare(a.TimeOfDay, b.TimeOfDay) })
	return path, err
}

// ResultCount counts the requests of a class that ended alike.
type ResultCount struct {
	Class, Cause string
	Count        int
	Share        float64 // of the class's requests
}

// Cause is why a request ended as it did: its verdict, how many attempts it had and how long it was kept.
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

// CountResults counts the ends of requests by class and cause, the most frequent first.
func CountResults(dir string) (out []ResultCount, err error) {
	count, all := map[ResultCount]int{}, map[string]int{}
	err = ReadDir(dir, func(l Line) {
		if l.Msg == requestMessages[1] {
			count[ResultCount{Class: l.Fields["class"], Cause: Cause(l)}]++
			all[l.Fields["class"]]++
		}
	})
	for e, n := range count {
		e.Count, e.Share = n, float64(n)/float64(all[e.Class])
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b ResultCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return out, err
}

// MemberInterval is what came of the attempts at one member in one stretch of time.
type MemberInterval struct {
	Member                       string
	From                         time.Duration
	Served, Full, Silent, Others int
	MedianMs                     int `json:"Median"` // of the answer times, ms
	responseTimes                []int
}

// CountByMember counts attempts by member and stretch of time.
func CountByMember(dir string, every time.Duration) (out []MemberInterval, err error) {
	if every <= 0 {
		return nil, errors.New("the stretch of time must be longer than 0")
	}
	type key struct {
		member string
		from   time.Duration
	}
	spans := map[key]*MemberInterval{}
	err = ReadDir(dir, func(l Line) {
		if l.Msg != requestMessages[0] {
			return
		}
		k := key{l.Fields["member"], l.TimeOfDay.Truncate(every)}
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

// LateAttempt is an attempt that began after its member was told to leave, by a gateway that had not heard of its return.
type LateAttempt struct {
	Gateway, ID, Member string
	StartedAt           time.Duration `json:"Begun"`
	SinceFirstNotice    time.Duration `json:"Fleet"`  // since some gateway was told first
	NotNotified         bool          `json:"Untold"` // this gateway had not been told until then
}

// LateAttempts finds the attempts that began longer than after the first word that their member leaves, by any gateway's
// clock, the latest first. What it lists breaks a rule only by the clock on which that word counted as told there.
func LateAttempts(dir string, after time.Duration) (out []LateAttempt, err error) {
	first := map[string]time.Duration{}            // by member: when some gateway was told that it leaves
	here := map[[2]string]map[time.Duration]bool{} // by gateway and member: when it was told what: true: that it leaves
	err = ReadDir(dir, func(l Line) {
		if l.Msg != discoveryMessage {
			return
		}
		for field, leaves := range map[string]bool{"leaving": true, "up": false} {
			for _, m := range strings.Fields(l.Fields[field]) {
				if at, known := first[m]; leaves && (!known || l.TimeOfDay < at) {
					first[m] = l.TimeOfDay
				}
				k := [2]string{l.Gateway, m}
				if here[k] == nil {
					here[k] = map[time.Duration]bool{}
				}
				here[k][l.TimeOfDay] = leaves
			}
		}
	})
	if err != nil {
		return nil, err
	}
	err = ReadDir(dir, func(l Line) {
		m := l.Fields["member"]
		at, leaves := first[m]
		begun := l.TimeOfDay - time.Duration(l.Number("took_ms"))*time.Millisecond
		if l.Msg != requestMessages[0] || !leaves || begun <= at+after {
			return
		}
		x := LateAttempt{Gateway: l.Gateway, ID: l.Fields["id"], Member: m, StartedAt: begun, SinceFirstNotice: begun - at, NotNotified: true}
		for heard, leaves := range here[[2]string{l.Gateway, m}] {
			switch {
			case heard < at || heard > begun:
			case leaves:
				x.NotNotified = false
			default: // it is back, and this gateway knew
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
