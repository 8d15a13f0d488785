package scale

import (
	"errors"
	"net"
)

// freeAddresses reserves distinct ephemeral loopback ports and releases them for the daemons that will listen
// there.
func freeAddresses(count int) (addresses []string, err error) {
	var listeners []net.Listener
	for range count {
		l, e := net.Listen("tcp", "127.0.0.1:0")
		if e != nil {
			err = e
			break
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		err = errors.Join(err, l.Close())
	}
	return addresses, err
}
