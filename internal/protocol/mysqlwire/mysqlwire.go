// Package mysqlwire parses and builds the parts of MySQL's client/server protocol that the gateway uses: packets, the
// version 10 handshake with native passwords, commands, and their responses.
package mysqlwire

import (
	"encoding/binary"
	"errors"

	"aspenshed/internal/protocol/assembler"
)

// Capability flags. Capabilities are those that the gateway offers and requests: TLS, multi-statements, query
// attributes and DEPRECATE_EOF are deliberately left out.
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

// Command codes.
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

const (
	headerSize      = 4         // three bytes for the size of the body, and the sequence number
	splitPacketSize = 1<<24 - 1 // a body of this size goes on in the next packet, which is not supported
)

// NativePassword is the only supported authentication method.
const NativePassword = "mysql_native_password"

// Errors that end a connection.
var (
	ErrTooLong   = errors.New("packet too long")
	ErrMalformed = errors.New("malformed packet")
)

// Packet is a packet, only valid during the call that gets it.
type Packet struct {
	Seq       byte
	Body, Raw []byte // without and with the header
	Dropped   bool   // there was no memory for the body
}

// Reader splits a stream into packets. It accepts fragments of any size.
type Reader struct {
	assembler.Assembler
	MaxSize int
}

// Feed processes the next bytes and calls f for each complete packet. After an error it returns the same error and drops
// its input.
func (r *Reader) Feed(b []byte, f func(Packet) error) error {
	return r.Assembler.Feed(r, b, func(frame assembler.Frame) error {
		return f(Packet{Seq: frame.Bytes[headerSize-1], Body: frame.Bytes[headerSize:], Raw: frame.Bytes, Dropped: frame.Dropped})
	})
}

// HeaderSize implements assembler.Wire.
func (r *Reader) HeaderSize() int { return headerSize }

// FrameSize implements assembler.Wire.
func (r *Reader) FrameSize(header []byte) (int, error) {
	n := int(header[0]) | int(header[1])<<8 | int(header[2])<<16
	if n > r.MaxSize || n == splitPacketSize {
		return 0, ErrTooLong
	}
	return headerSize + n, nil
}

// AppendPacket appends a packet to dst.
func AppendPacket(dst []byte, seq byte, body ...[]byte) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, seq)
	for _, b := range body {
		dst = append(dst, b...)
	}
	n := len(dst) - start - 4
	dst[start], dst[start+1], dst[start+2] = byte(n), byte(n>>8), byte(n>>16)
	return dst
}

// Command returns the packet of a command.
func Command(com byte, body ...[]byte) []byte {
	return AppendPacket(nil, 0, append([][]byte{{com}}, body...)...)
}

// ReadLenencInt reads a length-encoded integer. ok is false for NULL and for truncated input.
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

// ReadLenencString reads a length-encoded string. ok is false for NULL and for truncated input.
func ReadLenencString(b []byte) (s string, rest []byte, ok bool) {
	n, rest, ok := ReadLenencInt(b)
	if !ok || n > uint64(len(rest)) {
		return "", b, false
	}
	return string(rest[:n]), rest[n:], true
}

// AppendLenencString appends a length-encoded string to dst.
func AppendLenencString(dst []byte, s string) []byte {
	switch n := len(s); {
	case n < 0xfb:
		dst = append(dst, byte(n))
	case n < 1<<16:
		dst = append(dst, 0xfc, byte(n), byte(n>>8))
	default:
		dst = append(dst, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return append(dst, s...)
}

// Error is an ERR packet.
type Error struct {
	Code    uint16
	State   string // SQLSTATE
	Message string
}

// Packet returns the ERR packet.
func (e Error) Packet(seq byte) []byte {
	return AppendPacket(nil, seq, []byte{0xff, byte(e.Code), byte(e.Code >> 8)}, []byte("#"+e.State+e.Message))
}

// ParseError parses the body of an ERR packet.
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

// OK returns an OK packet without further information.
func OK(seq byte) []byte { return AppendPacket(nil, seq, []byte{0, 0, 0, 2, 0, 0, 0}) }

// IsEOF reports whether the packet is an EOF packet, as opposed to a row.
func IsEOF(body []byte) bool { return len(body) > 0 && len(body) < 9 && body[0] == 0xfe }

func (e *Error) Error() string { return e.Message }
