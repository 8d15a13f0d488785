package loopback

import (
	"net"
	"testing"
)

// Guards against "address already in use" at a port that was chosen before: until it is used, and between two uses, neither
// listeners nor connections are given it.
func TestHeldPortIsGivenToNobodyElse(t *testing.T) {
	const others = 2000
	held := map[string]bool{}
	for range 20 {
		address, err := HoldAddress()
		if err != nil {
			t.Fatal(err)
		}
		if held[address] {
			t.Fatalf("%s was chosen twice", address)
		}
		held[address] = true
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	for range others {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", target.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for _, got := range []net.Addr{l.Addr(), c.LocalAddr()} {
			if held[got.String()] {
				t.Errorf("%s was given to another socket", got)
			}
		}
		_, _, _ = l.Close(), c.Close(), accepted.Close()
	}
	for address := range held {
		for range 2 { // it is used again after a restart
			l, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if second, err := net.Listen("tcp", address); err == nil {
				t.Errorf("two listeners at %s", second.Addr())
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}
