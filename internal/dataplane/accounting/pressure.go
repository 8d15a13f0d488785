package accounting

import (
	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/membudget"
	"aspenshed/internal/netio"
)

// Pressure is what clients and databases have taken of the memory and the time of a process.
type Pressure struct {
	Memory [membudget.HolderCount]membudget.Usage
	Loop   eventloop.Stats
	Net    netio.Stats
}

// addTo adds what is not zero to the fields of a log line.
func (p *Pressure) addTo(fields logrus.Fields) {
	for _, h := range membudget.Holders() {
		if kb := p.Memory[h].Peak >> 10; kb > 0 {
			fields["mem_"+h.String()+"_kb"] = kb
		}
	}
	for name, ms := range map[string]int64{"mailbox_wait_ms": p.Loop.MaxWait.Milliseconds(), "batch_ms": p.Loop.LongestBatch.Milliseconds(),
		"read_ms": p.Net.LongestRead.Milliseconds(), "mailbox": int64(p.Loop.MaxQueued)} {
		if ms > 0 {
			fields[name] = ms
		}
	}
}
