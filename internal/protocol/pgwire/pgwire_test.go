package pgwire

import (
	"errors"
	"fmt"
	"testing"
)

func TestMessagesFromFragmentsOfAnySize(t *testing.T) {
	text := append(StartupMessage("web", "orders"), QueryMessage("SELECT 1")...)
	text = AppendError(text, Error{"ERROR", "53300", "full", "250"})
	for size := 1; size <= len(text); size++ {
		r, got := Reader{Startup: true, MaxSize: 1000}, ""
		for at := 0; at < len(text); at += size {
			if err := r.Feed(text[at:min(at+size, len(text))], func(m Message) error {
				r.Startup = false
				got += fmt.Sprintf("%d:%d ", m.Type, len(m.Body))
				if m.Type == 'E' {
					if e, ok := ParseError(m.Body); !ok || e != (Error{"ERROR", "53300", "full", "250"}) {
						t.Errorf("error read as %+v", e)
					}
				}
				return nil
			}); err != nil {
				t.Fatal(err)
			}
		}
		if got != "0:30 81:9 69:33 " {
			t.Fatalf("in pieces of %d: %s", size, got)
		}
	}
}

// Guards memory and the program: lengths that lie end the connection, and nothing is kept afterwards.
func TestMalformedLengths(t *testing.T) {
	for text, want := range map[string]error{"Q\x00\x00\x00\x03": ErrMalformed, "Q\x7f\xff\xff\xff": ErrTooLong, "Q\xff\xff\xff\xff": ErrTooLong} {
		r := Reader{MaxSize: 100}
		for range 2 {
			if err := r.Feed([]byte(text), func(Message) error { return nil }); !errors.Is(err, want) || len(r.buf) > 0 {
				t.Errorf("%q: %v with %d bytes kept, want %v", text, err, len(r.buf), want)
			}
		}
	}
	for _, body := range []string{"", "\x00", "\x00\x01", "\x00\x01\x00\x00\x00\x09x", "\x00\x01\xff\xff\xff\xff", "\x00\x00\x00\x00\x00\x00"} {
		if v, ok := ParseSingleColumn([]byte(body)); ok {
			t.Errorf("%q gave %q", body, v)
		}
	}
	for _, body := range []string{"", "\x00", "SERROR", "SERROR\x00C53300\x00", "SERROR\x00C53300\x00\x00more", "C53300\x00\x00"} {
		if e, ok := ParseError([]byte(body)); ok {
			t.Errorf("%q gave %+v", body, e)
		}
	}
}

// Guards CPU and memory against long messages in small pieces: the buffer is not copied for each of them.
func TestPiecesAreNotCopiedAgainAndAgain(t *testing.T) {
	text := QueryMessage(string(make([]byte, 60000)))
	whole := 0
	if n := testing.AllocsPerRun(1, func() {
		r := Reader{MaxSize: 1 << 16}
		for i := range text {
			_ = r.Feed(text[i:i+1], func(Message) error { whole++; return nil })
		}
	}); n > 100 || whole != 2 {
		t.Errorf("%.0f allocations for %d messages", n, whole)
	}
}

// Guards memory: a packet at the start is short.
func TestLongStartIsRefused(t *testing.T) {
	r := Reader{Startup: true, MaxSize: 1 << 20}
	if err := r.Feed([]byte("\x00\x00\xff\xff\x00\x03\x00\x00"), nil); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
}
