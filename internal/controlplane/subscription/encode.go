package subscription

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

const (
	// maxFrameBytes is the size limit of a frame of changes or of a snapshot: 64 KiB, a quarter of the window, so that a
	// connection is shared fairly. A larger record has a frame of its own.
	maxFrameBytes = 64 << 10
	// recordOverhead bounds the bytes that a record or change takes in a frame in addition to key and value: tags,
	// lengths, revision and time.
	recordOverhead = 40
	// lengthBytes is the size of a frame's length prefix.
	lengthBytes = 4
	// frameNumberField is ServerFrame.number.
	frameNumberField = 1
	// frameOverhead is the largest size of a frame in addition to its body: length prefix, tag and number.
	frameOverhead = lengthBytes + 1 + 10
)

// body is an encoded ServerFrame without its number, shared by all sessions that it is sent to.
type body []byte

func encodeBody(f *pb.ServerFrame) body {
	b, err := proto.Marshal(f)
	if err != nil { // a string is not valid UTF-8; all strings were checked on input
		return nil
	}
	return b
}

// withNumber returns a complete frame: length prefix, number, body.
func (b body) withNumber(n uint64) []byte {
	size := protowire.SizeTag(frameNumberField) + protowire.SizeVarint(n) + len(b)
	out := make([]byte, 0, lengthBytes+size)
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	out = protowire.AppendTag(out, frameNumberField, protowire.VarintType)
	out = protowire.AppendVarint(out, n)
	return append(out, b...)
}

// size returns the largest size of a frame with this body.
func (b body) size() int { return len(b) + frameOverhead }

func totalSize(bodies []body) (sum int) {
	for _, b := range bodies {
		sum += b.size()
	}
	return sum
}

// encodeChanges encodes the frames of one update; without changes it is a single frame, a heartbeat.
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

// countFitting returns how many of the items fit into one frame: at least one, if there is any.
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

// encodedSnapshot is the state within a scope at a revision, encoded as frames.
type encodedSnapshot struct {
	revision uint64
	frames   []body // SnapshotBegin, chunks, SnapshotEnd
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
