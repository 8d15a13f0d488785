package mysqlwire

import (
	"bytes"
	"crypto/sha1"
	"crypto/subtle"
	"encoding/binary"
	"errors"
)

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
	AuthResponse []byte
	Plugin       string
}

// VerifyPassword tells whether the login answers the challenge with that password.
func (l Login) VerifyPassword(challenge []byte, password string) bool {
	return subtle.ConstantTimeCompare(l.AuthResponse, Scramble(challenge, password)) == 1
}

// Greeting builds a server's first packet. The challenge has 20 bytes, none of them zero.
func Greeting(id uint32, challenge []byte) []byte {
	b := append([]byte{10}, "8.0.0-aspenshed\x00"...)
	b = binary.LittleEndian.AppendUint32(b, id)
	b = append(append(b, challenge[:8]...), 0)
	caps := uint32(Capabilities)
	b = append(b, byte(caps), byte(caps>>8), 45, 2, 0, byte(caps>>16), byte(caps>>24), 21)
	b = append(append(b, make([]byte, 10)...), challenge[8:20]...)
	return AppendPacket(nil, 0, b, []byte("\x00"+NativePassword+"\x00"))
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

// HandshakeResponse builds a client's answer to a greeting.
func HandshakeResponse(seq byte, l Login) []byte {
	caps := uint32(Capabilities)
	if l.DB == "" {
		caps &^= CapConnectWithDB
	}
	b := binary.LittleEndian.AppendUint32(nil, caps)
	b = append(binary.LittleEndian.AppendUint32(b, 1<<24-1), 45)
	b = append(append(b, make([]byte, 23)...), l.User+"\x00"...)
	b = append(append(b, byte(len(l.AuthResponse))), l.AuthResponse...)
	if l.DB != "" {
		b = append(b, l.DB+"\x00"...)
	}
	return AppendPacket(nil, seq, b, []byte(NativePassword+"\x00"))
}

// ParseHandshakeResponse reads a client's answer to the greeting.
func ParseHandshakeResponse(b []byte) (l Login, err error) {
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
		if auth, rest, ok = ReadLenencString(rest); !ok {
			return l, ErrMalformed
		}
	} else if auth, rest, ok = cutString(rest); !ok {
		return l, ErrMalformed
	}
	l.AuthResponse = []byte(auth)
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

// AuthSwitchRequest asks a client for a native password.
func AuthSwitchRequest(seq byte, challenge []byte) []byte {
	return AppendPacket(nil, seq, []byte("\xfe"+NativePassword+"\x00"), challenge, []byte{0})
}

// ParseAuthSwitchRequest reads a server's wish for another way to log in: its name and challenge.
func ParseAuthSwitchRequest(b []byte) (plugin string, challenge []byte, ok bool) {
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
