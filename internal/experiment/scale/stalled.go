package scale

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	pbstream "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/protocol/frame"
)

const (
	stalledReadBuffer     = 4 << 10 // receive buffer of a subscriber that never reads, bytes
	closeDetectionTimeout = 3 * time.Second
)

// stalledSubscriber subscribes and never reads.
type stalledSubscriber struct{ conn net.Conn }

func openStalledSubscriber(c Configure, number int) (*stalledSubscriber, error) {
	conn, err := net.DialTimeout("tcp", c.Servers[number%len(c.Servers)], time.Second)
	if err != nil {
		return nil, err
	}
	s := &stalledSubscriber{conn}
	subscribe := &pbstream.Subscribe{Cluster: c.Cluster, Subscriber: fmt.Sprint("stalled-", number), Boot: "1", Release: "scale"}
	message, err := frame.Append(nil, &pbstream.SubscriberFrame{Body: &pbstream.SubscriberFrame_Subscribe{Subscribe: subscribe}})
	if err == nil {
		err = conn.(*net.TCPConn).SetReadBuffer(stalledReadBuffer)
	}
	if err == nil {
		_, err = conn.Write(message)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// isClosed reports whether the server has closed the connection. As nothing was read here, data that the server
// had not sent by then may keep its system from sending the FIN; but a byte that arrives for a closed socket is
// answered by a reset.
func (s *stalledSubscriber) isClosed() bool {
	if _, err := s.conn.Write([]byte{0}); err != nil {
		return true
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(closeDetectionTimeout)); err != nil {
		return true
	}
	_, err := io.Copy(io.Discard, s.conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func (s *stalledSubscriber) close() { _ = s.conn.Close() }

// Stall opens stalled subscribers, or checks which of them the servers have closed.
func (f *Fleet) Stall(r Stall) error {
	if r.CheckClosed {
		f.checkStalledClosed()
		return nil
	}
	for i := range min(r.Count, maxGatewaysPerProcess) {
		s, err := openStalledSubscriber(f.config, i)
		if err != nil {
			return err
		}
		f.stalledSubscribers = append(f.stalledSubscribers, s)
		f.stalledOpened++
	}
	return nil
}

func (f *Fleet) checkStalledClosed() {
	results := make(chan bool)
	for _, s := range f.stalledSubscribers {
		go func() {
			results <- s.isClosed()
			s.close()
		}()
	}
	for range f.stalledSubscribers {
		if <-results {
			f.stalledClosed++
		}
	}
	f.stalledSubscribers = nil
}
