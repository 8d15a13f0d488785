package discovery

import "aspenshed"

// maxDepartures bounds the departed members that are remembered; the oldest are dropped.
const maxDepartures = 4096

// history remembers what lists have said of members, so that an outdated list, as after a change of the address or a restart
// of discovery, takes back neither a drain nor a replacement.
type history struct {
	departures     map[string]departure
	departureOrder []string             // keys of departures, the oldest first
	listed         map[string]listEntry // of members that are up; at most as many as the lists name
}

// departure records that a list has marked a member as leaving.
type departure struct {
	version int64 // of the newest such list
	start   aspenshed.Nanos
	state   aspenshed.MemberState
}

// listEntry is what the newest list that named a member as up said of it.
type listEntry struct {
	version int64
	member  aspenshed.Member
}

// apply records a list, and marks in it the members that are up only as it is outdated. A member that a newer list marked as
// leaving stays so until it restarts. One that a newer list has at another server drains until a list of that version, or
// a new start: which of both is right can't be told.
func (h *history) apply(version int64, list *aspenshed.MemberList) {
	if h.departures == nil {
		h.departures, h.listed = map[string]departure{}, map[string]listEntry{}
	}
	for i := range list.Members {
		m := &list.Members[i]
		if m.State == aspenshed.Up {
			h.applyUp(version, m)
		} else {
			h.recordDeparture(version, m)
		}
	}
	if list.Complete {
		h.forgetUnlisted(list)
	}
}

func (h *history) applyUp(version int64, m *aspenshed.Member) {
	d, departed := h.departures[m.ID]
	known, wasListed := h.listed[m.ID]
	switch {
	case departed && version < d.version && m.StartedAt <= d.start:
		m.State = d.state
	case wasListed && version < known.version && m.StartedAt <= known.member.StartedAt && known.member.ReplacedBy(*m):
		m.State = aspenshed.Draining
	default:
		h.listed[m.ID] = listEntry{version, *m}
	}
}

func (h *history) recordDeparture(version int64, m *aspenshed.Member) {
	d, known := h.departures[m.ID]
	if !known {
		h.departureOrder = append(h.departureOrder, m.ID)
	}
	h.departures[m.ID] = departure{max(version, d.version), max(m.StartedAt, d.start), max(m.State, d.state)}
	for len(h.departureOrder) > maxDepartures {
		delete(h.departures, h.departureOrder[0])
		h.departureOrder = h.departureOrder[1:]
	}
	if m.State == aspenshed.Removed {
		delete(h.listed, m.ID)
	}
}

// forgetUnlisted drops the entries of members that a complete list does not name.
func (h *history) forgetUnlisted(list *aspenshed.MemberList) {
	if len(h.listed) <= len(list.Members) {
		return
	}
	named := make(map[string]bool, len(list.Members))
	for _, m := range list.Members {
		named[m.ID] = true
	}
	for id := range h.listed {
		if !named[id] {
			delete(h.listed, id)
		}
	}
}
