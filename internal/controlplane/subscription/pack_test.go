package subscription

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	catalogpb "aspenshed/internal/controlplane/catalog/catalogpb"
	pb "aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
)

func packedChunk(t *testing.T, message []byte) *pb.SnapshotChunk {
	t.Helper()
	var p chunkCompressor
	packed, err := p.compress(message)
	if err != nil {
		t.Fatal(err)
	}
	return &pb.SnapshotChunk{Packed: packed}
}

func TestChunksComeBackAsTheyWerePacked(t *testing.T) {
	var p chunkCompressor
	for _, count := range []int{1, 2, 500, 3} { // one packer makes many chunks
		var want []*pb.Record
		for i := range count {
			want = append(want, pairRecord(fmt.Sprintf("key-%04d", i), "a value like the others"))
		}
		got, size, err := new(chunkDecompressor).decodeRecords(p.encodeChunk(0, want))
		if err != nil || !proto.Equal(&pb.Records{Records: got}, &pb.Records{Records: want}) {
			t.Errorf("%d records: %v, %d bytes, %v", count, len(got), size, err)
		}
	}
	if random := p.encodeChunk(0, []*pb.Record{{Key: "k", Value: []byte{1}}}); len(random.Packed) > 0 {
		t.Error("what does not shrink is packed")
	}
}

// Guards a subscriber against chunks that are not what a server packs, and against ones that would fill its memory.
func TestBadPackedChunksAreRefused(t *testing.T) {
	good, err := proto.Marshal(&pb.Records{Records: []*pb.Record{pairRecord("a", "b")}})
	if err != nil {
		t.Fatal(err)
	}
	both := packedChunk(t, good)
	both.Records = []*pb.Record{pairRecord("a", "b")}
	truncated := packedChunk(t, bytes.Repeat(good, 100))
	truncated.Packed = truncated.Packed[:len(truncated.Packed)/2]
	for name, m := range map[string]*pb.SnapshotChunk{
		"packed and not": both,
		"truncated":      truncated,
		"not compressed": {Packed: []byte{0xff, 0xff, 0xff}},
		"no records":     packedChunk(t, []byte{0xff}),
		"endless":        packedChunk(t, make([]byte, maxDecompressedBytes+1)),
	} {
		if _, _, err := new(chunkDecompressor).decodeRecords(m); !isError[*InvalidMessageError](err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards the budget of 7 KB a second for a gateway's control traffic: one that starts takes a whole snapshot, and what
// it costs must fit one minute of the budget. The records are as a fleet has them: ids, addresses, sites and start times.
func TestASnapshotOfTheTargetFitsAMinuteOfTheBudget(t *testing.T) {
	const minuteOfBudget = 60 * 7000
	var all []revision.Record
	for i := range 21000 {
		m := &catalogpb.Member{Start: 1796000000e9 + int64(i)*7919e6, Entry: &catalogpb.Entry{Id: fmt.Sprintf("database-%05d", i),
			Address: fmt.Sprintf("10.%d.%d.%d:5432", i%19, i/250%250, i%250), Site: fmt.Sprintf("zone-%02d", i%19), Group: int32(i / 6),
			Kind: "replica", State: "in_service", Wire: "postgres"}}
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, revision.Record{Key: revision.MemberPrefix + m.Entry.Id, Value: value})
	}
	s := NewServer(ServerConfig{Cluster: "c"})
	s.Reset(10, all)
	bytes := s.encoder.encodeSnapshot(revision.Scope{}).bytes
	t.Logf("%d bytes", bytes)
	if bytes > minuteOfBudget {
		t.Errorf("a snapshot of %d members takes %d bytes, %d are a minute's", len(all), bytes, minuteOfBudget)
	}
}
