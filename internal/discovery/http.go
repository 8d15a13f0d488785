package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxBuffered bounds one object and what of it has not been parsed: 8,000 members in their longest form.
const maxBuffered = 4 << 20

// response parses an HTTP/1.1 answer and cuts its body into objects and empty lines. The body is chunked, has a stated
// length, or goes on until the connection ends; then that end is none of the list's: an object counts once it is whole.
// It accepts fragments of any size.
type response struct {
	buf     []byte // bytes of the wire not yet parsed
	value   []byte // the body's object so far
	depth   int    // of braces in it; 0: between objects
	quoted  bool   // in a string of it
	escaped bool
	told    bool // an object has ended, its line not yet
	headed  bool
	left    int  // of the current chunk, or of a body of stated length
	inside  bool // the chunk
	form    form
}

// form is how a body tells its end.
type form int

const (
	untilClose form = iota
	chunked
	stated
)

var errEnded = errors.New("answer ended")

// feed calls f for each object of the body, and with nothing for each empty line. The body's end is errEnded.
func (r *response) feed(b []byte, f func([]byte) error) error {
	r.buf = append(r.buf, b...)
	if len(r.buf)+len(r.value) > maxBuffered {
		return errors.New("answer too long")
	}
	if !r.headed {
		end := bytes.Index(r.buf, []byte("\r\n\r\n"))
		if end < 0 {
			return nil
		}
		head := string(r.buf[:end])
		r.buf = r.buf[end+4:]
		var err error
		if r.form, r.left, err = parseHead(head); err != nil {
			return err
		}
		r.headed = true
	}
	switch r.form {
	case untilClose:
		b := r.buf
		r.buf = nil
		return r.body(b, f)
	case stated:
		b := r.buf[:min(r.left, len(r.buf))]
		r.buf, r.left = nil, r.left-len(b)
		if err := r.body(b, f); err != nil || r.left > 0 {
			return err
		}
		return errEnded
	}
	for {
		if r.inside {
			n := min(r.left, len(r.buf))
			if err := r.body(r.buf[:n], f); err != nil {
				return err
			}
			r.buf, r.left = r.buf[n:], r.left-n
			if r.left > 0 || len(r.buf) < 2 {
				return nil
			}
			if string(r.buf[:2]) != "\r\n" {
				return errors.New("malformed chunk")
			}
			r.buf, r.inside = r.buf[2:], false
		}
		end := bytes.Index(r.buf, []byte("\r\n"))
		if end < 0 {
			if len(r.buf) > 1024 {
				return errors.New("malformed chunk size")
			}
			return nil
		}
		size, _, _ := strings.Cut(string(r.buf[:end]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return errors.New("malformed chunk size")
		}
		if n == 0 {
			return errEnded
		}
		r.buf, r.left, r.inside = r.buf[end+2:], int(n), true
	}
}

// body cuts the body into what discovery says: an empty line, or one JSON object, which may stand on many lines.
func (r *response) body(b []byte, f func([]byte) error) error {
	for _, c := range b {
		if r.depth > 0 {
			if r.value = append(r.value, c); !r.inObject(c) {
				continue
			}
			value := r.value
			r.value, r.told = nil, true
			if err := f(value); err != nil {
				return err
			}
			continue
		}
		switch c {
		case ' ', '\t', '\r':
		case '{':
			r.value, r.depth = append(r.value, c), 1
		case '\n':
			if r.told { // the end of the object's own line
				r.told = false
			} else if err := f(nil); err != nil {
				return err
			}
		default:
			return fmt.Errorf("neither an object nor an empty line: %q", c)
		}
	}
	return nil
}

// inObject follows c and tells whether the object ends with it.
func (r *response) inObject(c byte) bool {
	switch {
	case r.escaped:
		r.escaped = false
	case r.quoted && c == '\\':
		r.escaped = true
	case c == '"':
		r.quoted = !r.quoted
	case r.quoted:
	case c == '{':
		r.depth++
	case c == '}':
		r.depth--
	}
	return r.depth == 0
}

// parseHead reads status and headers: how the body ends, and its length where that is stated.
func parseHead(head string) (form, int, error) {
	lines := strings.Split(head, "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return 0, 0, errors.New("no HTTP answer")
	}
	if status[1] != "200" {
		return 0, 0, fmt.Errorf("status %s", status[1])
	}
	how, length := untilClose, 0
	for _, l := range lines[1:] {
		k, v, _ := strings.Cut(l, ":")
		switch v = strings.TrimSpace(v); {
		case strings.EqualFold(k, "Transfer-Encoding"): // goes before a length
			if !strings.EqualFold(v, "chunked") {
				return 0, 0, fmt.Errorf("transfer encoding %q", v)
			}
			return chunked, 0, nil
		case strings.EqualFold(k, "Content-Length"):
			n, err := strconv.ParseUint(v, 10, 31)
			if err != nil {
				return 0, 0, fmt.Errorf("content length %q", v)
			}
			how, length = stated, int(n)
		}
	}
	return how, length, nil
}
