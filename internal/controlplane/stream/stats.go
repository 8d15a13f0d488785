package stream

import (
	"sync/atomic"

	"aspenshed/internal/controlplane/revision"
)

// Traffic counts what was sent and received over sockets, frames with their length prefixes.
type Traffic struct {
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// ServerStats holds the counters of a server since its start.
type ServerStats struct {
	Traffic
	Connections int    `json:"connections"` // open now, including those that are being closed
	Opened      uint64 `json:"opened"`
	Closed      uint64 `json:"closed"` // by the server, with a reason
	Submitted   uint64 `json:"submitted"`
	Overflows   uint64 `json:"overflows"` // of the commit queue
}

// ClientStats holds the counters of a client since its start, and its state.
type ClientStats struct {
	Traffic
	Subscribed      bool            `json:"subscribed"`
	Server          string          `json:"server"` // that was dialed last
	Connects        uint64          `json:"connects"`
	Snapshots       uint64          `json:"snapshots"`
	Revision        uint64          `json:"revision"`
	AppliedRevision uint64          `json:"in_force"`
	Digest          revision.Digest `json:"digest"` // of the state within its scope
	Records         int             `json:"records"`
}

// counters are the counters that several goroutines update.
type counters struct {
	bytesIn, bytesOut, messagesIn, messagesOut atomic.Uint64
}

func (c *counters) traffic() Traffic {
	return Traffic{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), MessagesIn: c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load()}
}

// countSent counts one sent frame.
func (c *counters) countSent(bytes int) {
	c.bytesOut.Add(uint64(bytes))
	c.messagesOut.Add(1)
}
