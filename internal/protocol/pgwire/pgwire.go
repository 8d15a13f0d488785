// Package pgwire parses and builds the messages of version 3 of PostgreSQL's
// wire protocol that the gateway speaks: start-up, simple queries, their answers.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// The codes of start-up packets.
const (
	ProtocolVersion3 = 196608
	CancelRequest    = 80877102
	SSLRequest       = 80877103
	GSSENCRequest    = 80877104
)

const maxStartupSize = 10000 // bytes; PostgreSQL takes no longer packet at the start

// ErrTooLong and ErrMalformed end a connection.
var (
	ErrTooLong   = errors.New("message too long")
	ErrMalformed = errors.New("malformed message")
)

// Message is one message. A start-up packet has type 0 and its code first in Body.
type Message struct {
	Type byte
	Body []byte
}

// Reader cuts a stream into messages. It accepts fragments of any size.
type Reader struct {
	Startup bool // the next message has no type byte
	MaxSize int  // the longest message taken
	buf     []byte
	err     error // the stream cannot be read on: what still comes is dropped, not kept
}

// Feed adds bytes and calls f for each whole message, whose Body is valid only
// within the call. After an error it takes no more.
func (r *Reader) Feed(b []byte, f func(Message) error) error {
	if r.err == nil {
		if r.err = r.parse(b, f); r.err != nil {
			r.buf = nil
		}
	}
	return r.err
}

// HasPartial tells whether part of a message has come and the rest not yet.
func (r *Reader) HasPartial() bool { return len(r.buf) > 0 }

func (r *Reader) parse(b []byte, f func(Message) error) error {
	data := b
	if len(r.buf) > 0 {
		r.buf = append(r.buf, b...)
		data = r.buf
	}
	rest := data
	for {
		head := 5
		if r.Startup {
			head = 4
		}
		if len(rest) < head {
			break
		}
		n := int(binary.BigEndian.Uint32(rest[head-4:]))
		if n < 4 || r.Startup && n < 8 {
			return ErrMalformed
		}
		if n > r.MaxSize || r.Startup && n > maxStartupSize {
			return fmt.Errorf("%w: %d bytes", ErrTooLong, n)
		}
		whole := head - 4 + n
		if len(rest) < whole {
			break
		}
		m := Message{Body: rest[head:whole]}
		if !r.Startup {
			m.Type = rest[0]
		}
		rest = rest[whole:]
		if err := f(m); err != nil {
			return err
		}
	}
	switch {
	case len(rest) == 0:
		r.buf = nil // idle connections hold no memory
	case len(rest) < len(data) || len(r.buf) == 0:
		r.buf = append([]byte(nil), rest...)
	} // else the buffer has only grown: a long message in small pieces is not copied for each of them
	return nil
}

// AppendMessage adds one message.
func AppendMessage(to []byte, typ byte, body ...string) []byte {
	n := 4
	for _, s := range body {
		n += len(s)
	}
	if typ != 0 {
		to = append(to, typ)
	}
	to = binary.BigEndian.AppendUint32(to, uint32(n))
	for _, s := range body {
		to = append(to, s...)
	}
	return to
}

// StartupMessage builds a start-up packet.
func StartupMessage(user, database string) []byte {
	return AppendMessage(nil, 0, "\x00\x03\x00\x00user\x00", user, "\x00database\x00", database, "\x00\x00")
}

// QueryMessage builds a simple query.
func QueryMessage(sql string) []byte { return AppendMessage(nil, 'Q', sql, "\x00") }

// AppendReadyForQuery is ReadyForQuery outside a transaction.
func AppendReadyForQuery(to []byte) []byte { return AppendMessage(to, 'Z', "I") }

// StartupResponse is what a server answers to a start-up packet.
func StartupResponse() []byte {
	b := AppendMessage(nil, 'R', "\x00\x00\x00\x00")
	for _, kv := range [][2]string{{"server_version", "16.0"}, {"client_encoding", "UTF8"}, {"server_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}} {
		b = AppendMessage(b, 'S', kv[0], "\x00", kv[1], "\x00")
	}
	return AppendReadyForQuery(b)
}

// Error is an ErrorResponse. Detail goes into field D where it is not empty.
type Error struct{ Severity, Code, Message, Detail string }

// AppendError adds an ErrorResponse.
func AppendError(to []byte, e Error) []byte {
	s := "S" + e.Severity + "\x00V" + e.Severity + "\x00C" + e.Code + "\x00M" + e.Message + "\x00"
	if e.Detail != "" {
		s += "D" + e.Detail + "\x00"
	}
	return AppendMessage(to, 'E', s, "\x00")
}

// ParseError reads an ErrorResponse. All of it must be well-formed: severity and code decide what becomes of a request.
func ParseError(body []byte) (e Error, ok bool) {
	for len(body) > 0 && body[0] != 0 {
		field := body[0]
		v, rest, whole := ReadCString(body[1:])
		if !whole {
			return e, false
		}
		switch body = rest; field {
		case 'S':
			e.Severity = v
		case 'C':
			e.Code = v
		case 'M':
			e.Message = v
		case 'D':
			e.Detail = v
		}
	}
	return e, len(body) == 1 && e.Severity != "" && len(e.Code) == 5
}

// ReadCString reads a string that a zero byte ends.
func ReadCString(b []byte) (s string, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return "", b, false
	}
	return string(b[:i]), b[i+1:], true
}

// ParseParameterStatus reads a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value string, ok bool) {
	name, rest, ok1 := ReadCString(body)
	value, rest, ok2 := ReadCString(rest)
	return name, value, ok1 && ok2 && len(rest) == 0
}

// IsSingleColumn tells whether a RowDescription is well-formed and names one column.
func IsSingleColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := ReadCString(body[2:])
	return ok && len(rest) == 18
}

// ParseSingleColumn reads a DataRow of one column.
func ParseSingleColumn(body []byte) (string, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return "", false
	}
	if n := int(int32(binary.BigEndian.Uint32(body[2:]))); n < 0 || len(body) != 6+n {
		return "", false
	}
	return string(body[6:]), true
}
