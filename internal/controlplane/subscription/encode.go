package subscription

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxFrameBytes is how large a frame of changes or of a snapshot grows: 64 KiB, a quarter of the window, so that a
	// connection is shared fairly. One record that alone is larger has a frame of its own.
	maxFrameBytes = 64 << 10
	// recordOverhead is the room that a record or change takes in a frame beside key and value: tags, lengths, revision
	// and time.
	recordOverhead = 40
	// lengthBytes is the frame's length prefix.
	lengthBytes = 4
	// frameNumberField is ServerFrame.number.
	frameNumberField = 1
	// frameOverhead is what a frame has beside its body at most: length prefix, tag and number.
	frameOverhead = lengthBytes + 1 + 10
)

// body is an encoded ServerFrame without its number, shared by all sessions that are sent it.
type body []byte

func encodeBody(f *pb.ServerFrame) body {
	b, err := proto.Marshal(f)
	if err != nil { // a string that is not UTF-8: all of ours were checked as they came in
		return nil
	}
	return b
}

// withNumber makes a whole frame of a body: length prefix, withNumber, body.
func (b body) withNumber(n uint64) []byte {
	size := protowire.SizeTag(frameNumberField) + protowire.SizeVarint(n) + len(b)
	out := make([]byte, 0, lengthBytes+size)
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	out = protowire.AppendTag(out, frameNumberField, protowire.VarintType)
	out = protowire.AppendVarint(out, n)
	return append(out, b...)
}

// size is how large the frame of a body is at most.
func (b body) size() int { return len(b) + frameOverhead }

func totalSize(bodies []body) (sum int) {
	for _, b := range bodies {
		sum += b.size()
	}
	return sum
}

// encodeChanges makes the frames of one step; without changes it is one frame, a heartbeat.
func (e *encoder) encodeChanges(from, through uint64, digest revision.Digest, changes []revision.Change) (out []body) {
	for {
		n := countFitting(changes, e.frameBytes, func(c *revision.Change) int { return len(c.Key) + len(c.Value) })
		message := &pb.Changes{From: from, Through: through, More: n < len(changes)}
		if !message.More {
			message.Digest = uint64(digest)
		}
		for _, c := range changes[:n] {
			message.Changes = append(message.Changes, changeToProto(c))
		}
		out = append(out, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_Changes{Changes: message}}))
		if changes = changes[n:]; len(changes) == 0 {
			return out
		}
	}
}

func changeToProto(c revision.Change) *pb.Change {
	w := &pb.Change{Revision: c.Revision, Key: c.Key, Removed: c.Removed, Binding: c.Binding, CommittedAt: c.CommittedAt}
	if !c.Removed {
		w.Value = c.Value
	}
	return w
}

// countFitting is how many of the items go into one frame: at least one, if there is any.
func countFitting[T any](items []T, frameBytes int, size func(*T) int) int {
	bytes := 0
	for i := range items {
		bytes += size(&items[i]) + recordOverhead
		if bytes > frameBytes && i > 0 {
			return i
		}
	}
	return len(items)
}

// encodedSnapshot is the state within a scope at a revision, encoded once.
type encodedSnapshot struct {
	revision uint64
	frames   []body // begin, chunks, end
	bytes    int
}

func (e *encoder) encodeSnapshot(scope revision.Scope) *encodedSnapshot {
	s := e.state
	var records []*pb.Record
	for r := range s.Records(scope) {
		records = append(records, &pb.Record{Key: r.Key, Value: r.Value})
	}
	total := uint64(len(records))
	var chunks []body
	for len(records) > 0 {
		n := countFitting(records, e.frameBytes, func(r **pb.Record) int { return len((*r).Key) + len((*r).Value) })
		chunk := e.compressor.encodeChunk(uint32(len(chunks)), records[:n])
		chunks = append(chunks, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_SnapshotChunk{SnapshotChunk: chunk}}))
		records = records[n:]
	}
	begin := &pb.SnapshotBegin{Revision: s.Revision(), Records: total, Chunks: uint32(len(chunks))}
	end := &pb.SnapshotEnd{Revision: s.Revision(), Digest: uint64(s.Digest(scope))}
	out := &encodedSnapshot{revision: s.Revision()}
	out.frames = append(out.frames, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_SnapshotBegin{SnapshotBegin: begin}}))
	out.frames = append(out.frames, chunks...)
	out.frames = append(out.frames, encodeBody(&pb.ServerFrame{Body: &pb.ServerFrame_SnapshotEnd{SnapshotEnd: end}}))
	out.bytes = totalSize(out.frames)
	return out
}
