package subscription

import (
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/controlpb"
)

// maxDecompressedBytes bounds the decompressed size of one chunk. A server packs maxFrameBytes into a chunk, or one
// larger record; the values of records are 64 KiB at most.
const maxDecompressedBytes = 1 << 20

// chunkCompressor compresses the chunks of snapshots. Records are similar to each other and compress well; the snapshot
// that a gateway receives at its start is most of its traffic of a day. Of 2.4 MB of records Zstandard's fastest level
// leaves 0.30 MB in 7 ms, DEFLATE 0.39 MB in 98 ms.
type chunkCompressor struct{ encoder *zstd.Encoder }

// encodeChunk makes a chunk of records, compressed if that is smaller.
func (c *chunkCompressor) encodeChunk(index uint32, records []*pb.Record) *pb.SnapshotChunk {
	plain := &pb.SnapshotChunk{Index: index, Records: records}
	message, err := proto.Marshal(&pb.Records{Records: records})
	if err != nil { // a key is not valid UTF-8; all keys were checked on input
		return plain
	}
	compressed, err := c.compress(message)
	if err != nil || len(compressed) >= len(message) {
		return plain
	}
	return &pb.SnapshotChunk{Index: index, Packed: compressed}
}

func (c *chunkCompressor) compress(message []byte) ([]byte, error) {
	if c.encoder == nil {
		encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
		if err != nil {
			return nil, err
		}
		c.encoder = encoder
	}
	return c.encoder.EncodeAll(message, nil), nil
}

// chunkDecompressor decompresses the chunks of one snapshot.
type chunkDecompressor struct{ decoder *zstd.Decoder }

// decodeRecords returns the records of a chunk and their decompressed size, which is 0 if they were not compressed.
func (d *chunkDecompressor) decodeRecords(m *pb.SnapshotChunk) (records []*pb.Record, size int, err error) {
	if len(m.Packed) == 0 {
		return m.Records, 0, nil
	}
	if len(m.Records) > 0 {
		return nil, 0, &InvalidMessageError{Message: "SnapshotChunk", Problem: "both compressed and uncompressed records"}
	}
	message, err := d.decompress(m.Packed)
	if err != nil {
		return nil, 0, &InvalidMessageError{Message: "SnapshotChunk", Problem: "the records can't be decompressed: " + err.Error()}
	}
	var decoded pb.Records
	if err := proto.Unmarshal(message, &decoded); err != nil {
		return nil, 0, &InvalidMessageError{Message: "SnapshotChunk", Problem: "the decompressed data are not records"}
	}
	return decoded.Records, len(message), nil
}

func (d *chunkDecompressor) decompress(compressed []byte) ([]byte, error) {
	if d.decoder == nil {
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(maxDecompressedBytes))
		if err != nil {
			return nil, err
		}
		d.decoder = decoder
	}
	return d.decoder.DecodeAll(compressed, nil)
}
