package stream

import (
	"sync/atomic"

	"aspenshed/internal/controlplane/revision"
)

// Traffic counts what went over sockets, frames with their length prefixes.
type Traffic struct {
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// ServerStats is what a server has done since its start.
type ServerStats struct {
	Traffic
	Connections int    `json:"connections"` // open now, those included that are being closed
	Opened      uint64 `json:"opened"`
	Closed      uint64 `json:"closed"` // by the server, with a reason
	Submitted   uint64 `json:"submitted"`
	Overflows   uint64 `json:"overflows"` // how often commits came faster than they were taken up
}

// ClientStats is what a client has done since its start, and where it stands.
type ClientStats struct {
	Traffic
	Subscribed bool            `json:"subscribed"`
	Server     string          `json:"server"` // that was dialled last
	Connects   uint64          `json:"connects"`
	Snapshots  uint64          `json:"snapshots"`
	Revision   uint64          `json:"revision"`
	InForce    uint64          `json:"in_force"`
	Digest     revision.Digest `json:"digest"` // of what it holds within its scope
	Records    int             `json:"records"`
}

// counters are the counts that several goroutines add to.
type counters struct {
	bytesIn, bytesOut, messagesIn, messagesOut atomic.Uint64
}

func (c *counters) traffic() Traffic {
	return Traffic{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), MessagesIn: c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load()}
}

// countSent counts one frame.
func (c *counters) countSent(bytes int) {
	c.bytesOut.Add(uint64(bytes))
	c.messagesOut.Add(1)
}
