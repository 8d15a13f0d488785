package subscription

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/controlpb"
)

func (s *simulation) someFaults() {
	s.withRate(s.cuts, s.moveSide)
	s.withRate(s.breaks, func() { s.breakLink(s.anySubscriber().link) })
	s.withRate(s.restarts, s.restart)
	s.withRate(s.slow, func() {
		x := s.anySubscriber()
		x.slow, x.calm = !x.slow, never
	})
	s.withRate(s.corruptions, func() { s.corrupt(s.anySubscriber().link) })
}

func (s *simulation) withRate(thousandths int, fault func()) {
	if s.rng.IntN(1000) < thousandths {
		fault()
	}
}

func (s *simulation) anySubscriber() *simSubscriber {
	return s.subscribers[s.rng.IntN(len(s.subscribers))]
}

// moveSide moves a subscriber or a server to the other side of a split, or ends the split.
func (s *simulation) moveSide() {
	switch s.rng.IntN(3) {
	case 0:
		x := s.anySubscriber()
		x.side, x.calm = 1-x.side, never
	case 1:
		x := s.servers[s.rng.IntN(len(s.servers))]
		x.side = 1 - x.side
		s.disturb(x)
	default:
		s.joinSides()
	}
}

func (s *simulation) joinSides() {
	for _, x := range s.servers {
		x.side = 0
	}
	for _, x := range s.subscribers {
		x.side = 0
	}
}

// disturb takes note that a server's subscribers may not hear at once.
func (s *simulation) disturb(x *simServer) {
	for _, c := range x.sides {
		c.subscriber.calm = never
	}
}

// breakLink loses some of what is on its way, and each end hears of it in its own time, or never.
func (s *simulation) breakLink(c *connection) {
	if c == nil {
		return
	}
	c.subscriber.calm = never
	c.up = c.up[:s.rng.IntN(len(c.up)+1)]
	c.down = c.down[:s.rng.IntN(len(c.down)+1)]
	if s.rng.IntN(2) == 0 {
		s.add(&c.up, transit{})
	}
	if s.rng.IntN(2) == 0 {
		s.add(&c.down, transit{})
	}
	c.dead = true
}

func (s *simulation) restart() {
	if s.rng.IntN(2) == 0 {
		x := s.anySubscriber()
		s.breakLink(x.link)
		x.link = nil
		s.startSubscriber(x, x.machine.servers)
		return
	}
	x := s.servers[s.rng.IntN(len(s.servers))]
	if !x.up {
		s.startServer(x)
		return
	}
	s.disturb(x)
	for _, id := range sortedSessions(x.sides) {
		c := x.sides[id]
		s.breakLink(c)
		s.endServer(c)
	}
	if x.up = s.rng.IntN(2) == 0; x.up {
		s.startServer(x)
	}
}

// corrupt changes, loses or doubles one frame on its way to a subscriber.
func (s *simulation) corrupt(c *connection) {
	if c == nil || len(c.down) == 0 {
		return
	}
	i := s.rng.IntN(len(c.down))
	if c.down[i].frame == nil {
		return
	}
	c.subscriber.calm = never
	switch s.rng.IntN(3) {
	case 0:
		c.down = slices.Delete(c.down, i, i+1)
	case 1:
		c.down = slices.Insert(c.down, i, c.down[i])
	default:
		c.down[i].frame = s.flip(c.down[i].frame)
	}
}

// flip changes a byte of a value, or leaves out a record.
func (s *simulation) flip(frame []byte) []byte {
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

// heal ends all faults.
func (s *simulation) heal() {
	s.joinSides()
	s.healed = true
	for _, x := range s.servers {
		if !x.up {
			s.startServer(x)
		}
	}
	for _, x := range s.subscribers {
		x.slow = false
	}
}
