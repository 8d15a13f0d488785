package main

import (
	"bufio"
	"crypto/sha1"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const roleQuery = "SELECT @@global.read_only"

func myPacket(seq byte, body []byte) []byte {
	n := len(body)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, body...)
}

func readMy(in *bufio.Reader) (seq byte, body []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err = io.ReadFull(in, body)
	return head[3], body, err
}

var (
	myOK        = []byte{0, 0, 0, 2, 0, 0, 0}
	myEOF       = []byte{0xfe, 0, 0, 2, 0}
	myChallenge = "abcdefgh12345678ijkl"
)

func myText(value string) []byte {
	column := []byte("\x03def\x00\x00\x00\x07payload\x00\x0c\x2d\x00\x00\x01\x00\x00\xfd\x00\x00\x00\x00\x00")
	b := myPacket(1, []byte{1})
	b = append(b, myPacket(2, column)...)
	b = append(b, myPacket(3, myEOF)...)
	b = append(b, myPacket(4, append([]byte{byte(len(value))}, value...))...)
	return append(b, myPacket(5, myEOF)...)
}

// serveMy speaks MySQL's protocol as a server that takes any login.
func serveMy(d *database, c net.Conn) {
	in := bufio.NewReader(c)
	caps := uint32(1 | 1<<2 | 1<<3 | 1<<9 | 1<<13 | 1<<15 | 1<<19)
	g := append([]byte{10}, "8.0.0\x00"...)
	g = binary.LittleEndian.AppendUint32(g, 7)
	g = append(append(g, myChallenge[:8]...), 0, byte(caps), byte(caps>>8), 45, 2, 0, byte(caps>>16), byte(caps>>24), 21)
	g = append(append(g, make([]byte, 10)...), myChallenge[8:]+"\x00mysql_native_password\x00"...)
	if _, err := c.Write(myPacket(0, g)); err != nil {
		return
	}
	seq, _, err := readMy(in)
	if err != nil {
		return
	}
	if _, err := c.Write(myPacket(seq+1, myOK)); err != nil {
		return
	}
	for {
		_, body, err := readMy(in)
		if err != nil || len(body) == 0 || body[0] == 1 {
			return
		}
		var out []byte
		switch sql := string(body[1:]); {
		case body[0] == 0x0e:
			out = myPacket(1, myOK)
		case body[0] != 3:
			out = myPacket(1, []byte("\xff\x17\x04#08S01not supported"))
		case sql == roleQuery:
			out = myText(map[bool]string{true: "0", false: "1"}[d.leads()])
		default:
			if !strings.HasPrefix(sql, "SELECT") && !strings.HasPrefix(sql, "EXPLAIN") && !d.leads() {
				out = myPacket(1, []byte("\xff\x0a\x05#HY000running with --read-only"))
				break
			}
			a := d.answerTo(d.arrived(sql))
			if a.never {
				_, _ = io.Copy(io.Discard, in)
				return
			}
			time.Sleep(a.after)
			out = myText(a.value)
		}
		if d.isHung() {
			continue
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// myClient is a MySQL client.
type myClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialMy(address, user, password string) (*myClient, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	m := &myClient{c, bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if err := m.login(user, password); err != nil {
		c.Close()
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return m, nil
}

func (m *myClient) login(user, password string) error {
	seq, g, err := readMy(m.in)
	if err != nil {
		return err
	}
	end := strings.IndexByte(string(g), 0)
	rest := g[end+5:]
	challenge := append(append([]byte{}, rest[:8]...), rest[27:39]...)
	h1 := sha1.Sum([]byte(password))
	h2 := sha1.Sum(h1[:])
	h3 := sha1.Sum(append(challenge, h2[:]...))
	for i := range h3 {
		h3[i] ^= h1[i]
	}
	b := binary.LittleEndian.AppendUint32(nil, 1|1<<2|1<<9|1<<13|1<<15|1<<19)
	b = append(binary.LittleEndian.AppendUint32(b, 1<<24-1), 45)
	b = append(append(b, make([]byte, 23)...), user+"\x00"...)
	b = append(append(b, 20), h3[:]...)
	b = append(b, "mysql_native_password\x00"...)
	if _, err := m.conn.Write(myPacket(seq+1, b)); err != nil {
		return err
	}
	_, reply, err := readMy(m.in)
	if err == nil && (len(reply) == 0 || reply[0] != 0) {
		err = fmt.Errorf("login refused: %q", reply)
	}
	return err
}

// ask sends one statement and returns what came for it: "served", or the error's number and text.
func (m *myClient) ask(sql string, limit time.Duration) (string, error) {
	got, _, err := m.askValue(sql, limit)
	return got, err
}

// askValue is ask with the value of the last row.
func (m *myClient) askValue(sql string, limit time.Duration) (got, value string, err error) {
	_ = m.conn.SetDeadline(time.Now().Add(limit))
	current.note("sent %s", short(sql))
	defer func() { current.note("answered %s: %s %s%s", field(sql, "id"), got, short(value), errorText(err)) }()
	if _, err := m.conn.Write(myPacket(0, append([]byte{3}, sql...))); err != nil {
		return "", "", err
	}
	ends := 0
	for first := true; ; first = false {
		_, body, err := readMy(m.in)
		switch {
		case err != nil:
			return "", "", err
		case len(body) == 0:
			return "", "", errors.New("empty packet")
		case body[0] == 0xff:
			return fmt.Sprintf("error %d %s", int(body[1])|int(body[2])<<8, body[3:]), "", nil
		case first && body[0] == 0:
			return "served", "", nil
		case body[0] == 0xfe && len(body) < 9:
			if ends++; ends == 2 {
				return "served", value, nil
			}
		case ends == 1:
			value = string(body[1:])
		}
	}
}
