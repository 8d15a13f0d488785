package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxBuffered bounds one object and its unparsed bytes: 8,000 members in their longest form.
const maxBuffered = 4 << 20

// maxHeaderSize bounds the status and the headers of a response.
const maxHeaderSize = 16 << 10

// response parses an HTTP/1.1 response and splits its body into objects and empty lines. The body is chunked, has a
// stated length, or ends with the connection; as that end may cut an object off, an object counts once it is complete.
// It accepts fragments of any size.
type response struct {
	buf          []byte // received bytes not yet parsed
	object       []byte // the received part of the current object
	depth        int    // of nested braces in object; 0: between objects
	quoted       bool   // within a string in object
	escaped      bool
	objectEnded  bool // an object has ended, but its line has not
	headerParsed bool
	remaining    int // of the current chunk, or of a body of stated length
	inChunk      bool
	framing      framing
}

// framing is how the end of a body is determined.
type framing int

const (
	framedByClose framing = iota
	framedByChunks
	framedByLength
)

var errBodyEnded = errors.New("response ended")

// feed calls f for each object of the body, and with nil for each empty line. At the end of the body it returns
// errBodyEnded.
func (r *response) feed(b []byte, f func([]byte) error) error {
	r.buf = append(r.buf, b...)
	if len(r.buf)+len(r.object) > maxBuffered {
		return errors.New("response too long")
	}
	if !r.headerParsed {
		end := bytes.Index(r.buf, []byte("\r\n\r\n"))
		if end < 0 && len(r.buf) > maxHeaderSize {
			return errors.New("headers too long")
		}
		if end < 0 {
			return nil
		}
		head := string(r.buf[:end])
		r.buf = r.buf[end+4:]
		var err error
		if r.framing, r.remaining, err = parseHeader(head); err != nil {
			return err
		}
		r.headerParsed = true
	}
	switch r.framing {
	case framedByClose:
		b := r.buf
		r.buf = nil
		return r.body(b, f)
	case framedByLength:
		b := r.buf[:min(r.remaining, len(r.buf))]
		r.buf, r.remaining = nil, r.remaining-len(b)
		if err := r.body(b, f); err != nil || r.remaining > 0 {
			return err
		}
		return errBodyEnded
	}
	for {
		if r.inChunk {
			n := min(r.remaining, len(r.buf))
			if err := r.body(r.buf[:n], f); err != nil {
				return err
			}
			r.buf, r.remaining = r.buf[n:], r.remaining-n
			if r.remaining > 0 || len(r.buf) < 2 {
				return nil
			}
			if string(r.buf[:2]) != "\r\n" {
				return errors.New("malformed chunk")
			}
			r.buf, r.inChunk = r.buf[2:], false
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
			return errBodyEnded
		}
		r.buf, r.remaining, r.inChunk = r.buf[end+2:], int(n), true
	}
}

// body splits the body into empty lines and JSON objects, which may span several lines.
func (r *response) body(b []byte, f func([]byte) error) error {
	for _, c := range b {
		if r.depth > 0 {
			if r.object = append(r.object, c); !r.inObject(c) {
				continue
			}
			value := r.object
			r.object, r.objectEnded = nil, true
			if err := f(value); err != nil {
				return err
			}
			continue
		}
		switch c {
		case ' ', '\t', '\r':
		case '{':
			r.object, r.depth = append(r.object, c), 1
		case '\n':
			if r.objectEnded { // the end of the line on which the object ended
				r.objectEnded = false
			} else if err := f(nil); err != nil {
				return err
			}
		default:
			return fmt.Errorf("unexpected %q between objects", c)
		}
	}
	return nil
}

// inObject processes the next byte of an object and reports whether the object ends with it.
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

// parseHeader checks the status and returns the body framing, with the length where it is stated.
func parseHeader(head string) (framing, int, error) {
	lines := strings.Split(head, "\r\n")
	status := strings.SplitN(lines[0], " ", 3)
	if len(status) < 2 || !strings.HasPrefix(status[0], "HTTP/1.") {
		return 0, 0, errors.New("malformed HTTP response")
	}
	if status[1] != "200" {
		return 0, 0, fmt.Errorf("status %s", status[1])
	}
	method, length := framedByClose, 0
	for _, l := range lines[1:] {
		k, v, _ := strings.Cut(l, ":")
		switch v = strings.TrimSpace(v); {
		case strings.EqualFold(k, "Transfer-Encoding"): // takes precedence over a length
			if !strings.EqualFold(v, "chunked") {
				return 0, 0, fmt.Errorf("transfer encoding %q", v)
			}
			return framedByChunks, 0, nil
		case strings.EqualFold(k, "Content-Length"):
			n, err := strconv.ParseUint(v, 10, 31)
			if err != nil {
				return 0, 0, fmt.Errorf("content length %q", v)
			}
			method, length = framedByLength, int(n)
		}
	}
	return method, length, nil
}
