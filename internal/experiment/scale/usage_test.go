package scale

import (
	"errors"
	"os"
	"testing"
	"time"
)

func TestParseStatSkipsSpacesInTheName(t *testing.T) {
	var u Usage
	text := "12 (a ) b) S 1 1 1 0 -1 0 0 0 0 0 7 5 0 0 20 0 1 0 100 0 0\n"
	if err := parseStat(&u, text); err != nil || u.CPU != 120*time.Millisecond {
		t.Errorf("%v %v", u.CPU, err)
	}
	for _, bad := range []string{"", "12 (a", "12 (a) S 1 2", "12 (a) S 1 1 1 0 -1 0 0 0 0 0 x 5 0"} {
		if err := parseStat(&u, bad); !errors.Is(err, ErrProcessUsage) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func TestParseIO(t *testing.T) {
	var u Usage
	text := "rchar: 10\nwchar: 20\nsyscr: 3\nsyscw: 4\nread_bytes: 0\nwrite_bytes: 5\ncancelled_write_bytes: 0\n"
	if err := parseIO(&u, text); err != nil || u.Read != 10 || u.Written != 20 || u.Reads != 3 || u.Writes != 4 || u.ToDisk != 5 {
		t.Errorf("%+v %v", u, err)
	}
	if err := parseIO(&u, "rchar: 10\n"); !errors.Is(err, ErrProcessUsage) {
		t.Errorf("fields are missing: %v", err)
	}
}

func TestReadUsageOfThisProcess(t *testing.T) {
	u, err := ReadUsage(os.Getpid())
	if err != nil || u.Memory <= 0 || u.Reads <= 0 {
		t.Errorf("%+v %v", u, err)
	}
}

func TestRates(t *testing.T) {
	now := time.Now()
	before := Usage{CPU: time.Second, Read: 100, Recorded: now}
	after := Usage{CPU: 2 * time.Second, Read: 300, Memory: 7, Recorded: now.Add(4 * time.Second)}
	if r := after.Since(before); r.Cores != 0.25 || r.Read != 50 || r.Memory != 7 || r.ReadBytes != 200 {
		t.Errorf("%+v", r)
	}
}
