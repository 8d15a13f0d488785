package main

import (
	"bufio"
	"crypto/sha1"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// The parts of MySQL's protocol that prepared and plain statements need, for both sides.

const (
	myUser     = "gateway"
	myPassword = "standin"
	myCaps     = 1 | 1<<2 | 1<<3 | 1<<9 | 1<<13 | 1<<15 | 1<<19
)

var myChallenge = []byte("12345678abcdefghijkl")

func myScramble(challenge []byte, password string) []byte {
	h := sha1.Sum([]byte(password))
	hh := sha1.Sum(h[:])
	s := sha1.Sum(append(append([]byte{}, challenge...), hh[:]...))
	for i := range s {
		s[i] ^= h[i]
	}
	return s[:]
}

func myPacket(seq byte, body ...[]byte) []byte {
	b := []byte{0, 0, 0, seq}
	for _, x := range body {
		b = append(b, x...)
	}
	n := len(b) - 4
	b[0], b[1], b[2] = byte(n), byte(n>>8), byte(n>>16)
	return b
}

func myRead(r *bufio.Reader) (seq byte, body []byte, err error) {
	var h [4]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, int(h[0])|int(h[1])<<8|int(h[2])<<16)
	_, err = io.ReadFull(r, body)
	return h[3], body, err
}

func myOK(seq byte) []byte { return myPacket(seq, []byte{0, 0, 0, 2, 0, 0, 0}) }

func myErr(code int, state, message string) []byte {
	return myPacket(1, []byte{0xff, byte(code), byte(code >> 8)}, []byte("#"+state+message))
}

func myRow(value string, binary bool) []byte {
	eof := []byte{0xfe, 0, 0, 2, 0}
	b := myPacket(1, []byte{1})
	b = append(b, myPacket(2, []byte("\x03def\x00\x00\x00\x07payload\x00\x0c\x2d\x00\x00\x00\x01\x00\xfd\x00\x00\x00\x00\x00"))...)
	b = append(b, myPacket(3, eof)...)
	row := append([]byte{byte(len(value))}, value...)
	if binary {
		row = append([]byte{0, 0}, row...)
	}
	return append(append(b, myPacket(4, row)...), myPacket(5, eof)...)
}

// myDatabase is a stand-in MySQL server.
type myDatabase struct {
	name     string
	rec      *recorder
	listener net.Listener
	mu       sync.Mutex
	readOnly bool
	hung     bool
	late     bool
	conns    map[net.Conn]bool
	// run handles one statement: it returns the answer's value or an error's packet; drop ends the connection instead.
	run func(d *myDatabase, sql string, arg string) (value string, errPacket []byte, drop bool)
}

func startMyDatabase(rec *recorder, name string, primary bool, run func(*myDatabase, string, string) (string, []byte, bool)) (*myDatabase, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &myDatabase{name: name, rec: rec, listener: l, readOnly: !primary, conns: map[net.Conn]bool{}, run: run}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *myDatabase) isReadOnly() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readOnly
}

func (d *myDatabase) isHung() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hung
}

func (d *myDatabase) set(readOnly, hung bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readOnly, d.hung = readOnly, hung
}

func (d *myDatabase) serve(c net.Conn) {
	defer c.Close()
	if d.late && rand.IntN(3) == 0 { // a third of the connections come up late
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
	}
	g := append([]byte{10}, "8.0.0\x00"...)
	g = binary.LittleEndian.AppendUint32(g, 1)
	g = append(append(g, myChallenge[:8]...), 0)
	caps := uint32(myCaps)
	g = append(g, byte(caps), byte(caps>>8), 45, 2, 0, byte(caps>>16), byte(caps>>24), 21)
	g = append(append(g, make([]byte, 10)...), myChallenge[8:]...)
	if _, err := c.Write(myPacket(0, g, []byte("\x00mysql_native_password\x00"))); err != nil {
		return
	}
	in := bufio.NewReader(c)
	seq, _, err := myRead(in)
	if err != nil {
		return
	}
	if _, err := c.Write(myOK(seq + 1)); err != nil {
		return
	}
	statements, last := map[uint32]string{}, uint32(0)
	for {
		_, b, err := myRead(in)
		if err != nil || len(b) == 0 {
			return
		}
		for d.isHung() {
			time.Sleep(10 * time.Millisecond)
		}
		sql := string(b[1:])
		var out []byte
		switch b[0] {
		case 0x01:
			return
		case 0x0e:
			out = myOK(1)
		case 0x16:
			last++
			statements[last] = sql
			n := byte(strings.Count(sql, "?"))
			out = myPacket(1, []byte{0}, binary.LittleEndian.AppendUint32(nil, last), []byte{0, 0, n, 0, 0, 0, 0})
			for i := range n {
				out = append(out, myPacket(2+i, []byte("\x03def\x00\x00\x00\x01?\x00\x0c\x2d\x00\x00\x00\x00\x00\xfd\x00\x00\x00\x00\x00"))...)
			}
			if n > 0 {
				out = append(out, myPacket(2+n, []byte{0xfe, 0, 0, 2, 0})...)
			}
		case 0x19:
			delete(statements, binary.LittleEndian.Uint32(b[1:]))
			continue
		case 0x17:
			s, ok := statements[binary.LittleEndian.Uint32(b[1:])]
			if !ok {
				out = myErr(1243, "HY000", "unknown statement")
				break
			}
			arg := ""
			if p := b[10:]; strings.Contains(s, "?") && len(p) > 5 { // bitmap, flag, type, value
				arg = string(p[5:])
			}
			out = d.statement(c, s, arg, true)
		case 0x03:
			if sql == "SELECT @@global.read_only" {
				v := "0"
				if d.isReadOnly() {
					v = "1"
				}
				out = myRow(v, false)
				break
			}
			out = d.statement(c, sql, "", false)
		default:
			out = myErr(1047, "08S01", "unknown command")
		}
		if out == nil {
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func (d *myDatabase) statement(c net.Conn, sql, arg string, binary bool) []byte {
	value, e, drop := d.run(d, sql, arg)
	switch {
	case drop:
		_ = c.(*net.TCPConn).SetLinger(0)
		return nil
	case e != nil:
		return e
	}
	return myRow(value, binary)
}

// myClient is one connection of a client.
type myClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func myDial(address string) (*myClient, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &myClient{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, g, err := myRead(c.in)
	if err != nil {
		return nil, err
	}
	end := strings.IndexByte(string(g), 0)
	rest := g[end+5:]
	challenge := append(append([]byte{}, rest[:8]...), rest[27:39]...)
	b := binary.LittleEndian.AppendUint32(nil, myCaps)
	b = append(binary.LittleEndian.AppendUint32(b, 1<<24-1), 45)
	b = append(append(b, make([]byte, 23)...), "web\x00"...)
	auth := myScramble(challenge, "pass")
	b = append(append(b, byte(len(auth))), auth...)
	if _, err := conn.Write(myPacket(1, b, []byte("app\x00mysql_native_password\x00"))); err != nil {
		return nil, err
	}
	_, r, err := myRead(c.in)
	if err != nil || r[0] != 0 {
		conn.Close()
		return nil, errors.Join(err, errors.New("login failed"))
	}
	return c, nil
}

// myReply is what a client got.
type myReply struct {
	value string
	code  int
	err   error
}

func (r myReply) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.code == 1213:
		return "refused"
	case r.code != 0:
		return fmt.Sprint("failed ", r.code)
	}
	return "served " + r.value
}

func (c *myClient) command(wait time.Duration, com byte, body ...[]byte) (first []byte, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := c.conn.Write(myPacket(0, append([][]byte{{com}}, body...)...)); err != nil {
		return nil, err
	}
	_, first, err = myRead(c.in)
	return first, err
}

func (c *myClient) prepare(sql string, wait time.Duration) (id uint32, params int, r myReply) {
	first, err := c.command(wait, 0x16, []byte(sql))
	switch {
	case err != nil:
		return 0, 0, myReply{err: err}
	case first[0] == 0xff:
		return 0, 0, myReply{code: int(binary.LittleEndian.Uint16(first[1:]))}
	}
	id, params = binary.LittleEndian.Uint32(first[1:]), int(binary.LittleEndian.Uint16(first[7:]))
	if params > 0 {
		for range params + 1 {
			if _, _, err := myRead(c.in); err != nil {
				return 0, 0, myReply{err: err}
			}
		}
	}
	return id, params, myReply{}
}

func (c *myClient) execute(id uint32, arg string, wait time.Duration) myReply {
	b := append(binary.LittleEndian.AppendUint32(nil, id), 0, 1, 0, 0, 0, 0, 1, 253, 0, byte(len(arg)))
	first, err := c.command(wait, 0x17, append(b, arg...))
	return c.result(first, err, true)
}

func (c *myClient) query(sql string, wait time.Duration) myReply {
	first, err := c.command(wait, 0x03, []byte(sql))
	return c.result(first, err, false)
}

func (c *myClient) result(first []byte, err error, binaryRow bool) myReply {
	switch {
	case err != nil:
		return myReply{err: err}
	case first[0] == 0xff:
		return myReply{code: int(binary.LittleEndian.Uint16(first[1:]))}
	case first[0] == 0:
		return myReply{value: "ok"}
	}
	var r myReply
	for i := range 4 {
		_, b, err := myRead(c.in)
		if err != nil {
			return myReply{err: err}
		}
		if i == 2 {
			if binaryRow {
				b = b[2:]
			}
			r.value = string(b[1:])
		}
	}
	return r
}
