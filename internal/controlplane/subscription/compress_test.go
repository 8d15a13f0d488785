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

func compressedChunk(t *testing.T, message []byte) *pb.SnapshotChunk {
	t.Helper()
	var p chunkCompressor
	packed, err := p.compress(message)
	if err != nil {
		t.Fatal(err)
	}
	return &pb.SnapshotChunk{Packed: packed}
}

func TestChunkCompressionRoundTrip(t *testing.T) {
	var p chunkCompressor
	for _, count := range []int{1, 2, 500, 3} { // one compressor encodes many chunks
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
		t.Error("a chunk is compressed although that makes it larger")
	}
}

// Checks that a client rejects chunks that no server would send, and ones that would exhaust its memory.
func TestInvalidCompressedChunksAreRejected(t *testing.T) {
	good, err := proto.Marshal(&pb.Records{Records: []*pb.Record{pairRecord("a", "b")}})
	if err != nil {
		t.Fatal(err)
	}
	both := compressedChunk(t, good)
	both.Records = []*pb.Record{pairRecord("a", "b")}
	truncated := compressedChunk(t, bytes.Repeat(good, 100))
	truncated.Packed = truncated.Packed[:len(truncated.Packed)/2]
	for name, m := range map[string]*pb.SnapshotChunk{
		"both forms":     both,
		"truncated":      truncated,
		"not compressed": {Packed: []byte{0xff, 0xff, 0xff}},
		"no records":     compressedChunk(t, []byte{0xff}),
		"too large":      compressedChunk(t, make([]byte, maxDecompressedBytes+1)),
	} {
		if _, _, err := new(chunkDecompressor).decodeRecords(m); !isError[*InvalidMessageError](err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Checks the budget of 7 KB a second for a gateway's control traffic: a gateway that starts receives a whole snapshot,
// which must fit one minute of the budget. The records are like those of a fleet: ids, addresses, sites and start
// times.
func TestSnapshotFitsTrafficBudget(t *testing.T) {
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
		t.Errorf("a snapshot of %d members takes %d bytes, more than the budget of %d", len(all), bytes, minuteOfBudget)
	}
}
