package stream

import (
	"errors"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/protocol/frame"
)

// frameOverhead is what a decoded frame is counted for beside its bytes.
const frameOverhead = 256

// errFlood says that a peer sends faster than what it sends is taken up; the other end's window excludes that.
var errFlood = errors.New("more bytes wait to be taken up than the peer may send at once")

// received is a decoded frame and its size on the wire.
type received[M proto.Message] struct {
	frame M
	bytes int
}

// receiver turns the bytes of one connection into frames. The poller's goroutine feeds it; the loop's tells it what has
// been taken up.
type receiver[M proto.Message] struct {
	make     func() M
	counters *counters
	limit    int64 // of the bytes that wait for the loop; beyond it the connection is closed
	reader   frame.Reader
	waiting  atomic.Int64
	failed   bool
}

// feed returns the whole frames that b completes. After an error, which may come with frames that went before it,
// nothing more comes.
func (r *receiver[M]) feed(b []byte) (frames []received[M], err error) {
	if r.failed {
		return nil, nil
	}
	r.counters.bytesIn.Add(uint64(len(b)))
	err = r.reader.Feed(b, func(message []byte) error {
		m := r.make()
		if err := proto.Unmarshal(message, m); err != nil {
			return err
		}
		r.counters.messagesIn.Add(1)
		frames = append(frames, received[M]{m, len(message) + 4})
		if r.waiting.Add(int64(len(message)+frameOverhead)) > r.limit {
			return errFlood
		}
		return nil
	})
	r.failed = err != nil
	return frames, err
}

// took takes note that the loop has dealt with a frame.
func (r *receiver[M]) took(f received[M]) { r.waiting.Add(-int64(f.bytes - 4 + frameOverhead)) }
