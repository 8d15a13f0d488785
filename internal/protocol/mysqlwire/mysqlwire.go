// Package mysqlwire parses and builds what the gateway speaks of MySQL's
// client/server protocol: packets, the version 10 handshake with native
// passwords, commands, and the shapes of their answers.
package mysqlwire

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// The capabilities that the gateway offers and asks for. TLS, multi-statements,
// query attributes and DEPRECATE_EOF are left out on purpose.
const (
	CapConnectWithDB = 1 << 3
	CapLocalFiles    = 1 << 7
	CapProtocol41    = 1 << 9
	CapSSL           = 1 << 11
	CapMultiStmts    = 1 << 16
	CapPluginAuth    = 1 << 19
	CapLenencAuth    = 1 << 21
	Capabilities     = 1 | 1<<2 | CapConnectWithDB | CapProtocol41 | 1<<13 | 1<<15 | CapPluginAuth
)

// The commands.
const (
	ComQuit             = 0x01
	ComInitDB           = 0x02
	ComQuery            = 0x03
	ComPing             = 0x0e
	ComStmtPrepare      = 0x16
	ComStmtExecute      = 0x17
	ComStmtSendLongData = 0x18
	ComStmtClose        = 0x19
	ComStmtReset        = 0x1a
	ComSetOption        = 0x1b
	ComStmtFetch        = 0x1c
	ComResetConnection  = 0x1f
)

// NativePassword is the one way to log in.
const NativePassword = "mysql_native_password"

// The errors that end a connection.
var (
	ErrTooLong   = errors.New("packet too long")
	ErrMalformed = errors.New("malformed packet")
)

// Reader cuts a stream into packets. It accepts fragments of any size.
type Reader struct {
	MaxSize int
	buf     []byte
	err     error // the stream cannot be read on: what still comes is dropped, not kept
}

// Feed adds bytes and calls f for each whole packet with its sequence number,
// its body and the packet as it stood on the wire, valid only within the call.
// After an error it takes no more.
func (r *Reader) Feed(b []byte, f func(seq byte, body, raw []byte) error) error {
	if r.err == nil {
		if r.err = r.parse(b, f); r.err != nil {
			r.buf = nil
		}
	}
	return r.err
}

// HasPartial tells whether part of a packet has come and the rest not yet.
func (r *Reader) HasPartial() bool { return len(r.buf) > 0 }

func (r *Reader) parse(b []byte, f func(seq byte, body, raw []byte) error) error {
	data := b
	if len(r.buf) > 0 {
		r.buf = append(r.buf, b...)
		data = r.buf
	}
	rest := data
	for len(rest) >= 4 {
		n := int(rest[0]) | int(rest[1])<<8 | int(rest[2])<<16
		if n > r.MaxSize || n == 1<<24-1 {
			return ErrTooLong
		}
		if len(rest) < 4+n {
			break
		}
		raw := rest[:4+n]
		rest = rest[4+n:]
		if err := f(raw[3], raw[4:], raw); err != nil {
			return err
		}
	}
	switch {
	case len(rest) == 0:
		r.buf = nil // idle connections hold no memory
	case len(rest) < len(data) || len(r.buf) == 0:
		r.buf = bytes.Clone(rest)
	} // else the buffer has only grown: a long packet in small pieces is not copied for each of them
	return nil
}

// AppendPacket adds one packet.
func AppendPacket(to []byte, seq byte, body ...[]byte) []byte {
	at := len(to)
	to = append(to, 0, 0, 0, seq)
	for _, b := range body {
		to = append(to, b...)
	}
	n := len(to) - at - 4
	to[at], to[at+1], to[at+2] = byte(n), byte(n>>8), byte(n>>16)
	return to
}

// Command builds a command's packet.
func Command(com byte, body ...[]byte) []byte {
	return AppendPacket(nil, 0, append([][]byte{{com}}, body...)...)
}

// ReadLenencInt reads a length-encoded integer. ok is false for NULL and for what is cut off.
func ReadLenencInt(b []byte) (n uint64, rest []byte, ok bool) {
	if len(b) == 0 {
		return 0, b, false
	}
	size := map[byte]int{0xfc: 2, 0xfd: 3, 0xfe: 8}[b[0]]
	switch {
	case b[0] < 0xfb:
		return uint64(b[0]), b[1:], true
	case size == 0 || len(b) < 1+size:
		return 0, b, false
	}
	var le [8]byte
	copy(le[:], b[1:1+size])
	return binary.LittleEndian.Uint64(le[:]), b[1+size:], true
}

// ReadLenencString reads a length-encoded string; NULL is not ok.
func ReadLenencString(b []byte) (s string, rest []byte, ok bool) {
	n, rest, ok := ReadLenencInt(b)
	if !ok || n > uint64(len(rest)) {
		return "", b, false
	}
	return string(rest[:n]), rest[n:], true
}

// AppendLenencString adds a length-encoded string.
func AppendLenencString(to []byte, s string) []byte {
	switch n := len(s); {
	case n < 0xfb:
		to = append(to, byte(n))
	case n < 1<<16:
		to = append(to, 0xfc, byte(n), byte(n>>8))
	default:
		to = append(to, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return append(to, s...)
}

// Error is an ERR packet.
type Error struct {
	Code    uint16
	State   string // SQLSTATE
	Message string
}

// Packet is the error in bytes.
func (e Error) Packet(seq byte) []byte {
	return AppendPacket(nil, seq, []byte{0xff, byte(e.Code), byte(e.Code >> 8)}, []byte("#"+e.State+e.Message))
}

// ParseError reads an ERR packet's body.
func ParseError(b []byte) (e Error) {
	if len(b) < 3 {
		return Error{Code: 2027, State: "HY000", Message: "malformed packet"}
	}
	e = Error{Code: binary.LittleEndian.Uint16(b[1:]), State: "HY000", Message: string(b[3:])}
	if len(b) >= 9 && b[3] == '#' {
		e.State, e.Message = string(b[4:9]), string(b[9:])
	}
	return e
}

// OK is an OK packet of nothing but success.
func OK(seq byte) []byte { return AppendPacket(nil, seq, []byte{0, 0, 0, 2, 0, 0, 0}) }

// IsEOF tells an EOF packet from a row.
func IsEOF(body []byte) bool { return len(body) > 0 && len(body) < 9 && body[0] == 0xfe }

func (e *Error) Error() string { return e.Message }
