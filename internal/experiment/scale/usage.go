package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat on Linux (USER_HZ), whatever the kernel's own tick.
const clockTick = 10 * time.Millisecond

// Usage is the system's resource accounting of one process since its start, except for Memory, which is the
// current value.
type Usage struct {
	CPU      time.Duration `json:"cpu_ns"`
	Memory   int64         `json:"memory_bytes"` // resident set
	Read     int64         `json:"read_bytes"`   // by system calls: sockets and files
	Written  int64         `json:"written_bytes"`
	Reads    int64         `json:"reads"` // system calls
	Writes   int64         `json:"writes"`
	ToDisk   int64         `json:"to_disk_bytes"` // the part of Written that goes to a disk
	Recorded time.Time     `json:"recorded"`
}

// ErrProcessUsage reports process accounting that could not be parsed.
var ErrProcessUsage = errors.New("scale: unreadable process accounting")

// ReadUsage reads the resource usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	u := Usage{Recorded: time.Now()}
	for _, part := range []struct {
		file  string
		parse func(*Usage, string) error
	}{{"stat", parseStat}, {"statm", parseStatm}, {"io", parseIO}} {
		text, err := os.ReadFile(folder + part.file)
		if err != nil {
			return Usage{}, err
		}
		if err := part.parse(&u, string(text)); err != nil {
			return Usage{}, fmt.Errorf("%s%s: %w", folder, part.file, err)
		}
	}
	return u, nil
}

// parseStat parses the processor time: the 14th and 15th field. The second, the program's name, may contain
// spaces.
func parseStat(u *Usage, text string) error {
	const user, system = 11, 12 // counted after the name
	_, rest, ok := strings.Cut(text[max(strings.LastIndexByte(text, ')'), 0):], " ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= system {
		return ErrProcessUsage
	}
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return errors.Join(ErrProcessUsage, err)
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	return nil
}

// parseStatm parses the resident set: the second field, in pages.
func parseStatm(u *Usage, text string) error {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return ErrProcessUsage
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return errors.Join(ErrProcessUsage, err)
	}
	u.Memory = pages * int64(os.Getpagesize())
	return nil
}

func parseIO(u *Usage, text string) error {
	into := map[string]*int64{"rchar": &u.Read, "wchar": &u.Written, "syscr": &u.Reads, "syscw": &u.Writes, "write_bytes": &u.ToDisk}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		field := into[name]
		if field == nil {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.Join(ErrProcessUsage, err)
		}
		*field = n
		delete(into, name)
	}
	if len(into) > 0 {
		return ErrProcessUsage
	}
	return nil
}

// Rates is the average resource usage of a process between two samples.
type Rates struct {
	Cores                   float64 // processor seconds per second
	Read, Written           float64 // bytes per second
	Reads, Writes, ToDisk   float64 // system calls and bytes per second
	Memory                  float64 // bytes at the end
	Elapsed                 time.Duration
	ReadBytes, WrittenBytes int64 // totals of the interval
}

// Since returns the usage since an earlier sample.
func (u Usage) Since(earlier Usage) Rates {
	elapsed := u.Recorded.Sub(earlier.Recorded)
	perSecond := func(now, before int64) float64 { return float64(now-before) / elapsed.Seconds() }
	return Rates{
		Cores:        (u.CPU - earlier.CPU).Seconds() / elapsed.Seconds(),
		Read:         perSecond(u.Read, earlier.Read),
		Written:      perSecond(u.Written, earlier.Written),
		Reads:        perSecond(u.Reads, earlier.Reads),
		Writes:       perSecond(u.Writes, earlier.Writes),
		ToDisk:       perSecond(u.ToDisk, earlier.ToDisk),
		Memory:       float64(u.Memory),
		Elapsed:      elapsed,
		ReadBytes:    u.Read - earlier.Read,
		WrittenBytes: u.Written - earlier.Written,
	}
}
