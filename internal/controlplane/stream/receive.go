package stream

import (
	"errors"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/protocol/frame"
)

// decodedFrameOverhead is what a decoded frame counts in addition to its encoded size, in bytes.
const decodedFrameOverhead = 256

// errReceiveOverflow reports that a peer sends faster than its frames are processed; the flow control window of a
// correct peer excludes that.
var errReceiveOverflow = errors.New("more bytes wait to be taken up than the peer may send at once")

// receivedFrame is a decoded frame and its size on the wire.
type receivedFrame[M proto.Message] struct {
	frame M
	bytes int
}

// receiver decodes the bytes of one connection into frames. The poller's goroutine calls decode; the loop's goroutine
// calls release for processed frames.
type receiver[M proto.Message] struct {
	newFrame        func() M
	counters        *counters
	maxPendingBytes int64 // that wait for the loop; beyond it the connection is closed
	reader          frame.Reader
	pendingBytes    atomic.Int64
	failed          bool
}

// decode returns the frames that b completes. After an error, which may be returned together with frames before it, it
// returns nothing.
func (r *receiver[M]) decode(b []byte) (frames []receivedFrame[M], err error) {
	if r.failed {
		return nil, nil
	}
	r.counters.bytesIn.Add(uint64(len(b)))
	err = r.reader.Feed(b, func(message []byte) error {
		m := r.newFrame()
		if err := proto.Unmarshal(message, m); err != nil {
			return err
		}
		r.counters.messagesIn.Add(1)
		frames = append(frames, receivedFrame[M]{m, len(message) + 4})
		if r.pendingBytes.Add(int64(len(message)+decodedFrameOverhead)) > r.maxPendingBytes {
			return errReceiveOverflow
		}
		return nil
	})
	r.failed = err != nil
	return frames, err
}

// release records that the loop has processed a frame.
func (r *receiver[M]) release(f receivedFrame[M]) {
	r.pendingBytes.Add(-int64(f.bytes - 4 + decodedFrameOverhead))
}
