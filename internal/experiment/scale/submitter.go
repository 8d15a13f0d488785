package scale

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/protocol/frame"
)

const (
	callTimeout      = 4 * time.Second // for one voter to reply
	callRetryDelay   = 50 * time.Millisecond
	writeTimeout     = 30 * time.Second // for a batch to be committed; covers the loss of a leader
	maxBatchCommands = 64               // commands per batch, the store's limit
)

// Submitter submits commands to the voters as an instance of the store does: to the leader's service, with
// retries until it is known whether they were carried out. Sequence numbers keep commands from being carried out
// twice.
type Submitter struct {
	cluster  string
	origin   string
	services []string
	sequence uint64
	current  int // index of the service that is called next
	conn     net.Conn
	reader   *bufio.Reader
}

// NewSubmitter creates a submitter that calls the voters' services.
func NewSubmitter(cluster, origin string, services []string) *Submitter {
	return &Submitter{cluster: cluster, origin: origin, services: services}
}

// Close closes the connection.
func (s *Submitter) Close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.conn = nil
}

// Submit submits commands in batches. It fails on the first that the catalog refuses.
func (s *Submitter) Submit(ctx context.Context, commands ...*pb.Command) error {
	for len(commands) > 0 {
		n := min(len(commands), maxBatchCommands)
		if err := s.submitBatch(ctx, s.assignSequence(commands[:n])); err != nil {
			return err
		}
		commands = commands[n:]
	}
	return nil
}

// assignSequence gives commands their origin and sequence numbers.
func (s *Submitter) assignSequence(commands []*pb.Command) *pb.Batch {
	for _, c := range commands {
		s.sequence++
		c.Origin, c.Seq, c.Kind = s.origin, s.sequence, catalog.CommandKind(c)
	}
	return &pb.Batch{Commands: commands}
}

func (s *Submitter) submitBatch(ctx context.Context, b *pb.Batch) error {
	call := &pb.Call{Cluster: s.cluster, Body: &pb.Call_Submit{Submit: b}}
	for end := time.Now().Add(writeTimeout); ; {
		reply, err := s.call(call)
		if err == nil && reply.Refused == "" {
			return firstRefusal(reply.Results)
		}
		if err == nil && !reply.Retry {
			err = refusedError{reply.Refused}
		}
		if time.Now().After(end) {
			return errors.Join(err, &TimeoutError{"the commit of a batch", writeTimeout})
		}
		s.selectNextService(reply)
		if err := sleepContext(ctx, callRetryDelay); err != nil {
			return err
		}
	}
}

// selectNextService switches to the leader named in a reply, or else to the next voter.
func (s *Submitter) selectNextService(reply *pb.Reply) {
	s.Close()
	for i, service := range s.services {
		if reply != nil && service == reply.LeaderService {
			s.current = i
			return
		}
	}
	s.current = (s.current + 1) % len(s.services)
}

func (s *Submitter) call(call *pb.Call) (*pb.Reply, error) {
	if s.conn == nil {
		conn, err := net.DialTimeout("tcp", s.services[s.current], time.Second)
		if err != nil {
			return nil, err
		}
		s.conn, s.reader = conn, bufio.NewReader(conn)
	}
	call.Id++
	message, err := frame.Append(nil, call)
	if err == nil {
		err = s.conn.SetDeadline(time.Now().Add(callTimeout))
	}
	if err == nil {
		_, err = s.conn.Write(message)
	}
	if err != nil {
		return nil, err
	}
	return s.readReply()
}

func (s *Submitter) readReply() (*pb.Reply, error) {
	var length [4]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > frame.MaxSize {
		return nil, &frame.SizeError{Size: int(size), Limit: frame.MaxSize}
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(s.reader, message); err != nil {
		return nil, fmt.Errorf("truncated reply: %w", err)
	}
	reply := &pb.Reply{}
	return reply, proto.Unmarshal(message, reply)
}
