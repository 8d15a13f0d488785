package subscription

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/controlpb"
)

func (s *simulation) injectFaults() {
	s.withRate(s.partitions, s.changePartition)
	s.withRate(s.breaks, func() { s.breakConnection(s.randomSubscriber().conn) })
	s.withRate(s.restarts, s.restart)
	s.withRate(s.slow, func() {
		x := s.randomSubscriber()
		x.slow, x.undisturbedSince = !x.slow, never
	})
	s.withRate(s.corruptions, func() { s.corrupt(s.randomSubscriber().conn) })
}

func (s *simulation) withRate(thousandths int, fault func()) {
	if s.rng.IntN(1000) < thousandths {
		fault()
	}
}

func (s *simulation) randomSubscriber() *simSubscriber {
	return s.subscribers[s.rng.IntN(len(s.subscribers))]
}

// changePartition moves a subscriber or a server to the other side of the partition, or ends the partition.
func (s *simulation) changePartition() {
	switch s.rng.IntN(3) {
	case 0:
		x := s.randomSubscriber()
		x.partition, x.undisturbedSince = 1-x.partition, never
	case 1:
		x := s.servers[s.rng.IntN(len(s.servers))]
		x.partition = 1 - x.partition
		s.markDisturbed(x)
	default:
		s.endPartition()
	}
}

func (s *simulation) endPartition() {
	for _, x := range s.servers {
		x.partition = 0
	}
	for _, x := range s.subscribers {
		x.partition = 0
	}
}

// markDisturbed records that a server's subscribers may receive commits late.
func (s *simulation) markDisturbed(x *simServer) {
	for _, c := range x.connections {
		c.subscriber.undisturbedSince = never
	}
}

// breakConnection drops some of what is in flight; each end notices the loss after a delay of its own, or never.
func (s *simulation) breakConnection(c *simConnection) {
	if c == nil {
		return
	}
	c.subscriber.undisturbedSince = never
	c.toServer = c.toServer[:s.rng.IntN(len(c.toServer)+1)]
	c.toSubscriber = c.toSubscriber[:s.rng.IntN(len(c.toSubscriber)+1)]
	if s.rng.IntN(2) == 0 {
		s.enqueue(&c.toServer, packet{})
	}
	if s.rng.IntN(2) == 0 {
		s.enqueue(&c.toSubscriber, packet{})
	}
	c.broken = true
}

func (s *simulation) restart() {
	if s.rng.IntN(2) == 0 {
		x := s.randomSubscriber()
		s.breakConnection(x.conn)
		x.conn = nil
		s.startSubscriber(x, x.machine.servers)
		return
	}
	x := s.servers[s.rng.IntN(len(s.servers))]
	if !x.up {
		s.startServer(x)
		return
	}
	s.markDisturbed(x)
	for _, id := range sortedSessions(x.connections) {
		c := x.connections[id]
		s.breakConnection(c)
		s.closeServerEnd(c)
	}
	if x.up = s.rng.IntN(2) == 0; x.up {
		s.startServer(x)
	}
}

// corrupt changes, drops or duplicates one frame in flight to a subscriber.
func (s *simulation) corrupt(c *simConnection) {
	if c == nil || len(c.toSubscriber) == 0 {
		return
	}
	i := s.rng.IntN(len(c.toSubscriber))
	if c.toSubscriber[i].frame == nil {
		return
	}
	c.subscriber.undisturbedSince = never
	switch s.rng.IntN(3) {
	case 0:
		c.toSubscriber = slices.Delete(c.toSubscriber, i, i+1)
	case 1:
		c.toSubscriber = slices.Insert(c.toSubscriber, i, c.toSubscriber[i])
	default:
		c.toSubscriber[i].frame = s.corruptFrame(c.toSubscriber[i].frame)
	}
}

// corruptFrame changes a byte of a value, or drops a record.
func (s *simulation) corruptFrame(frame []byte) []byte {
	f := &pb.ServerFrame{}
	if proto.Unmarshal(frame[lengthBytes:], f) != nil {
		return frame
	}
	if n := len(f.GetChanges().GetChanges()); n > 0 {
		flipByte(f.GetChanges().Changes[s.rng.IntN(n)].Value, s.rng.IntN(1000))
	}
	if chunk := f.GetSnapshotChunk(); len(chunk.GetPacked()) > 0 {
		if s.rng.IntN(3) == 0 { // the compressed bytes themselves
			flipByte(chunk.Packed, s.rng.IntN(1000))
		} else {
			chunk.Records, _, _ = new(chunkDecompressor).decodeRecords(chunk)
			chunk.Packed = nil
		}
	}
	if n := len(f.GetSnapshotChunk().GetRecords()); n > 0 {
		i := s.rng.IntN(n)
		flipByte(f.GetSnapshotChunk().Records[i].Value, s.rng.IntN(1000))
		if s.rng.IntN(3) == 0 {
			f.GetSnapshotChunk().Records = slices.Delete(f.GetSnapshotChunk().Records, i, i+1)
		}
	}
	number := f.Number
	f.Number = 0
	return encodeBody(f).withNumber(number)
}

func flipByte(value []byte, at int) {
	if len(value) > 0 {
		value[at%len(value)] ^= 1
	}
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.endPartition()
	s.faultsEnded = true
	for _, x := range s.servers {
		if !x.up {
			s.startServer(x)
		}
	}
	for _, x := range s.subscribers {
		x.slow = false
	}
}
