// Package mysqlwire parses and builds what the gateway speaks of MySQL's
// client/server protocol: packets, the version 10 handshake with native
// passwords, commands, and the shapes of their answers.
package mysqlwire

import (
	"bytes"
	"crypto/sha1"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"strings"
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
	Max int
	buf []byte
	err error // the stream cannot be read on: what still comes is dropped, not kept
}

// Feed adds bytes and calls f for each whole packet with its sequence number,
// its body and the packet as it stood on the wire, valid only within the call.
// After an error it takes no more.
func (r *Reader) Feed(b []byte, f func(seq byte, body, raw []byte) error) error {
	if r.err == nil {
		if r.err = r.feed(b, f); r.err != nil {
			r.buf = nil
		}
	}
	return r.err
}

// Partial tells whether part of a packet has come and the rest not yet.
func (r *Reader) Partial() bool { return len(r.buf) > 0 }

func (r *Reader) feed(b []byte, f func(seq byte, body, raw []byte) error) error {
	data := b
	if len(r.buf) > 0 {
		r.buf = append(r.buf, b...)
		data = r.buf
	}
	rest := data
	for len(rest) >= 4 {
		n := int(rest[0]) | int(rest[1])<<8 | int(rest[2])<<16
		if n > r.Max || n == 1<<24-1 {
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

// Packet adds one packet.
func Packet(to []byte, seq byte, body ...[]byte) []byte {
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
	return Packet(nil, 0, append([][]byte{{com}}, body...)...)
}

// Lenenc reads a length-encoded integer. ok is false for NULL and for what is cut off.
func Lenenc(b []byte) (n uint64, rest []byte, ok bool) {
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

// LenencString reads a length-encoded string; NULL is not ok.
func LenencString(b []byte) (s string, rest []byte, ok bool) {
	n, rest, ok := Lenenc(b)
	if !ok || n > uint64(len(rest)) {
		return "", b, false
	}
	return string(rest[:n]), rest[n:], true
}

// AppendLenenc adds a length-encoded string.
func AppendLenenc(to []byte, s string) []byte {
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
	return Packet(nil, seq, []byte{0xff, byte(e.Code), byte(e.Code >> 8)}, []byte("#"+e.State+e.Message))
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
func OK(seq byte) []byte { return Packet(nil, seq, []byte{0, 0, 0, 2, 0, 0, 0}) }

// IsEOF tells an EOF packet from a row.
func IsEOF(body []byte) bool { return len(body) > 0 && len(body) < 9 && body[0] == 0xfe }

// Scramble answers a challenge: SHA1(password) xor SHA1(challenge, SHA1(SHA1(password))).
func Scramble(challenge []byte, password string) []byte {
	if password == "" {
		return nil
	}
	one := sha1.Sum([]byte(password))
	two := sha1.Sum(one[:])
	mix := sha1.Sum(append(bytes.Clone(challenge), two[:]...))
	for i := range mix {
		mix[i] ^= one[i]
	}
	return mix[:]
}

// Login is what a client says of itself.
type Login struct {
	Capabilities uint32
	User, DB     string
	Auth         []byte
	Plugin       string
}

// Matches tells whether the login answers the challenge with that password.
func (l Login) Matches(challenge []byte, password string) bool {
	return subtle.ConstantTimeCompare(l.Auth, Scramble(challenge, password)) == 1
}

// Greeting builds a server's first packet. The challenge has 20 bytes, none of them zero.
func Greeting(id uint32, challenge []byte) []byte {
	b := append([]byte{10}, "8.0.0-aspenshed\x00"...)
	b = binary.LittleEndian.AppendUint32(b, id)
	b = append(append(b, challenge[:8]...), 0)
	caps := uint32(Capabilities)
	b = append(b, byte(caps), byte(caps>>8), 45, 2, 0, byte(caps>>16), byte(caps>>24), 21)
	b = append(append(b, make([]byte, 10)...), challenge[8:20]...)
	return Packet(nil, 0, b, []byte("\x00"+NativePassword+"\x00"))
}

// ParseGreeting reads a server's challenge.
func ParseGreeting(b []byte) (challenge []byte, err error) {
	if len(b) > 0 && b[0] == 0xff {
		e := ParseError(b)
		return nil, &e
	}
	end := bytes.IndexByte(b, 0)
	if len(b) == 0 || b[0] != 10 || end < 0 || len(b) < end+1+4+8+1+2+1+2+2+1+10+12 {
		return nil, ErrMalformed
	}
	b = b[end+5:]
	return append(bytes.Clone(b[:8]), b[27:39]...), nil
}

func (e *Error) Error() string { return e.Message }

// Response builds a client's answer to a greeting.
func Response(seq byte, l Login) []byte {
	caps := uint32(Capabilities)
	if l.DB == "" {
		caps &^= CapConnectWithDB
	}
	b := binary.LittleEndian.AppendUint32(nil, caps)
	b = append(binary.LittleEndian.AppendUint32(b, 1<<24-1), 45)
	b = append(append(b, make([]byte, 23)...), l.User+"\x00"...)
	b = append(append(b, byte(len(l.Auth))), l.Auth...)
	if l.DB != "" {
		b = append(b, l.DB+"\x00"...)
	}
	return Packet(nil, seq, b, []byte(NativePassword+"\x00"))
}

// ParseResponse reads a client's answer to the greeting.
func ParseResponse(b []byte) (l Login, err error) {
	if len(b) < 4 {
		return l, ErrMalformed
	}
	l.Capabilities = binary.LittleEndian.Uint32(b)
	if l.Capabilities&CapSSL != 0 {
		return l, errors.New("TLS is not supported")
	}
	if l.Capabilities&CapProtocol41 == 0 || len(b) < 33 {
		return l, ErrMalformed
	}
	user, rest, ok := cutString(b[32:])
	if !ok || len(rest) == 0 {
		return l, ErrMalformed
	}
	l.User = user
	var auth string
	if l.Capabilities&CapLenencAuth != 0 || l.Capabilities&(1<<15) != 0 {
		if auth, rest, ok = LenencString(rest); !ok {
			return l, ErrMalformed
		}
	} else if auth, rest, ok = cutString(rest); !ok {
		return l, ErrMalformed
	}
	l.Auth = []byte(auth)
	if l.Capabilities&CapConnectWithDB != 0 {
		if l.DB, rest, ok = cutString(rest); !ok {
			return l, ErrMalformed
		}
	}
	if l.Capabilities&CapPluginAuth != 0 {
		l.Plugin, _, _ = cutString(rest)
	}
	return l, nil
}

// SwitchAuth asks a client for a native password.
func SwitchAuth(seq byte, challenge []byte) []byte {
	return Packet(nil, seq, []byte("\xfe"+NativePassword+"\x00"), challenge, []byte{0})
}

// ParseSwitch reads a server's wish for another way to log in: its name and challenge.
func ParseSwitch(b []byte) (plugin string, challenge []byte, ok bool) {
	if len(b) < 2 || b[0] != 0xfe {
		return "", nil, false
	}
	plugin, rest, ok := cutString(b[1:])
	return plugin, bytes.TrimSuffix(bytes.Clone(rest), []byte{0}), ok
}

func cutString(b []byte) (s string, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return "", b, false
	}
	return string(b[:i]), b[i+1:], true
}

// Prepared is the head of an answer to COM_STMT_PREPARE.
type Prepared struct {
	ID              uint32
	Params, Columns int
}

// ParsePrepared reads it.
func ParsePrepared(b []byte) (p Prepared, ok bool) {
	if len(b) < 12 || b[0] != 0 {
		return p, false
	}
	return Prepared{ID: binary.LittleEndian.Uint32(b[1:]), Columns: int(binary.LittleEndian.Uint16(b[5:])),
		Params: int(binary.LittleEndian.Uint16(b[7:]))}, true
}

// Execute is a COM_STMT_EXECUTE taken apart after its statement id.
type Execute struct {
	Nulls  []byte // the bitmap
	Types  []byte // two bytes a parameter
	Values []byte
}

// ParseExecute reads the body after the command byte. types are those of the
// last execution, which a client need not say again.
func ParseExecute(b []byte, params int, types []byte) (e Execute, err error) {
	if len(b) < 9 {
		return e, ErrMalformed
	}
	if params == 0 {
		return e, nil
	}
	b = b[9:]
	n := (params + 7) / 8
	if len(b) < n+1 {
		return e, ErrMalformed
	}
	e.Nulls = bytes.Clone(b[:n])
	fresh := b[n]
	b = b[n+1:]
	if e.Types = types; fresh == 1 {
		if len(b) < 2*params {
			return e, ErrMalformed
		}
		e.Types, b = bytes.Clone(b[:2*params]), b[2*params:]
	}
	if len(e.Types) != 2*params {
		return e, ErrMalformed
	}
	e.Values = bytes.Clone(b)
	return e, nil
}

// Command builds the execution for a server that may never have seen the types. It asks for no cursor.
func (e Execute) Command(id uint32) []byte {
	head := append(binary.LittleEndian.AppendUint32(nil, id), 0, 1, 0, 0, 0)
	if len(e.Types) == 0 {
		return Command(ComStmtExecute, head)
	}
	return Command(ComStmtExecute, head, e.Nulls, []byte{1}, e.Types, e.Values)
}

// Answer follows the packets that answer one command and tells when it is whole.
type Answer struct {
	Prepare bool
	Raw     []byte // the packets as they came
	Err     *Error
	Row     []byte // the first row's body
	First   []byte // the first packet's body
	defs    int    // definitions to come, with an EOF after each run of them
	runs    int
	rows    bool
}

// ErrMore says that a server answers with several results.
var ErrMore = errors.New("several results for one statement")

// Add takes a packet; done tells that the answer is whole.
func (a *Answer) Add(body, raw []byte) (done bool, err error) {
	a.Raw = append(a.Raw, raw...)
	first := a.First == nil
	if first {
		a.First = append([]byte{}, body...)
	}
	switch {
	case len(body) == 0:
		return false, ErrMalformed
	case body[0] == 0xff && (first || a.rows):
		e := ParseError(body)
		a.Err = &e
		return true, nil
	case first && a.Prepare:
		p, ok := ParsePrepared(body)
		if !ok {
			return false, ErrMalformed
		}
		for _, n := range []int{p.Params, p.Columns} {
			if n > 0 {
				a.defs += n
				a.runs++
			}
		}
		return a.runs == 0, nil
	case first && body[0] == 0:
		return true, moreResults(body, true)
	case first && body[0] == 0xfb:
		return false, errors.New("server asks for a local file")
	case first:
		n, _, ok := Lenenc(body)
		if !ok || n == 0 || n > 4096 {
			return false, ErrMalformed
		}
		a.defs, a.runs = int(n), 1
		return false, nil
	case a.rows && IsEOF(body):
		return true, moreResults(body, false)
	case a.rows:
		if a.Row == nil {
			a.Row = append([]byte{}, body...)
		}
		return false, nil
	case IsEOF(body):
		if a.runs--; a.runs == 0 {
			a.rows = !a.Prepare
			return a.Prepare, nil
		}
		return false, nil
	}
	if a.defs--; a.defs < 0 {
		return false, ErrMalformed
	}
	return false, nil
}

// moreResults looks for SERVER_MORE_RESULTS_EXISTS in the status.
func moreResults(body []byte, ok bool) error {
	status := body[min(3, len(body)):]
	if ok {
		_, rest, _ := Lenenc(body[1:])
		_, status, _ = Lenenc(rest)
	}
	if len(status) >= 1 && status[0]&8 != 0 {
		return ErrMore
	}
	return nil
}

// TextResult builds a result set of one column and at most one row.
func TextResult(column string, value *string) []byte {
	if value == nil {
		return result(column, nil)
	}
	return result(column, AppendLenenc(nil, *value))
}

// PreparedOK builds a server's answer to a prepared statement, with a parameter for each question mark.
func PreparedOK(id uint32, sql string) []byte {
	n := byte(strings.Count(sql, "?"))
	b := Packet(nil, 1, []byte{0}, binary.LittleEndian.AppendUint32(nil, id), []byte{0, 0, n, 0, 0, 0, 0})
	for i := range n {
		b = Packet(b, 2+i, []byte("a parameter's definition"))
	}
	if n > 0 {
		b = Packet(b, 2+n, []byte{0xfe, 0, 0, 2, 0})
	}
	return b
}

// BinaryResult builds the same as the answer to an execution: a row of one value, not null.
func BinaryResult(column, value string) []byte {
	return result(column, AppendLenenc([]byte{0, 0}, value))
}

func result(column string, row []byte) []byte {
	def := []byte("\x03def\x00\x00\x00")
	def = AppendLenenc(def, column)
	def = append(append(def, 0, 0x0c, 45, 0, 0, 0, 1, 0), 0xfd, 0, 0, 0, 0, 0)
	b := Packet(nil, 1, []byte{1})
	b = Packet(b, 2, def)
	b = Packet(b, 3, []byte{0xfe, 0, 0, 2, 0})
	seq := byte(4)
	if row != nil {
		b = Packet(b, seq, row)
		seq++
	}
	return Packet(b, seq, []byte{0xfe, 0, 0, 2, 0})
}

// Several tells whether a text holds more than one statement. Quotes and comments do not count.
func Several(sql string) bool {
	var quote byte
	for i := 0; i < len(sql); i++ {
		c := sql[i]
		switch {
		case quote != 0:
			if c == '\\' && quote != '`' {
				i++
			} else if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"' || c == '`':
			quote = c
		case c == '/' && strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return false
			}
			i += end + 3
		case c == '#' || c == '-' && strings.HasPrefix(sql[i:], "-- "):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return false
			}
			i += end
		case c == ';' && Verb(sql[i+1:]) != "":
			return true
		}
	}
	return false
}

// Verb is the first word of a statement in capitals, after comments.
func Verb(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;(")
		if !strings.HasPrefix(sql, "/*") {
			break
		}
		end := strings.Index(sql, "*/")
		if end < 0 {
			return ""
		}
		sql = sql[end+2:]
	}
	end := strings.IndexFunc(sql, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(sql)
	}
	return strings.ToUpper(sql[:end])
}
