package session

import (
	"cmp"
	"sync/atomic"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/membudget"
)

// Whatever others use, each connection may hold the guaranteed bytes: a client that sends short commands is always served.
const (
	guaranteedPartialBytes = 2560
	guaranteedRequestBytes = 2 << 10
	// GuaranteedResponseBytes are those of an incomplete response on a connection to a database.
	GuaranteedResponseBytes = 4 << 10
	// commandOverhead approximates the memory of a command besides its bytes: its slot, its request and its entry in
	// the loop's lane.
	commandOverhead = 256
)

// reserve counts n more bytes that a session holds, if they are guaranteed to it or the budget has them. Negative n are
// given back, which always succeeds.
func (s *Session) reserve(h membudget.Holder, own *atomic.Int64, guaranteed, n int64) bool {
	budget := s.manager.Budget
	if mine := own.Add(n); n <= 0 || mine <= guaranteed {
		budget.Add(h, n)
		return true
	}
	if budget.Reserve(h, n) {
		return true
	}
	own.Add(-n)
	return false
}

// ReservePartial counts n more bytes of an incomplete command, if there is memory for them; negative n are given back.
func (s *Session) ReservePartial(n int) bool {
	return s.reserve(membudget.Partial, &s.partialBytes, guaranteedPartialBytes, int64(n))
}

// ReserveHeld counts n more bytes that a client has the front end keep, if there is memory for them; negative n are given
// back.
func (s *Session) ReserveHeld(n int) bool {
	return s.reserve(membudget.Requests, &s.heldBytes, 0, int64(n))
}

func (s *Session) reserveCommand(n int) bool {
	return s.reserve(membudget.Requests, &s.commandBytes, guaranteedRequestBytes, int64(n))
}

func (s *Session) releaseCommand(n int) { s.reserveCommand(-n) }

// HasRoom reports whether there is memory for a command of that size, before anything is made of it.
func (s *Session) HasRoom(size int) bool {
	n := size + commandOverhead
	if !s.reserveCommand(n) {
		return false
	}
	s.releaseCommand(n)
	return true
}

// Estimates of a response's size.
const (
	initialResponseSize = 8 << 10
	minResponseSize     = 1 << 10
	responseSizeDecay   = 16 // by one in so many of the difference a smaller response lowers the estimate
	// responseCopies is how often the memory holds a response while it is received and written.
	responseCopies = 2
	// maxValueResponse is the size of a response with the largest value that the protocols allow, 64 KiB, in hex, and its
	// framing.
	maxValueResponse = 2*64<<10 + 1<<10
)

// Of the memory for responses, those that may have to wait for an earlier one on their connection may use one part in
// waitingShareDivisor, and one connection one part in connectionShareDivisor. The rest is for responses that are next.
const (
	waitingShareDivisor    = 2
	connectionShareDivisor = 4
)

// responseSize estimates the size of the next response: that of the largest of late. 0: not known.
type responseSize int

func (e *responseSize) observe(size int) {
	if estimate := int(*e); size < estimate {
		size = estimate - (estimate-size)/responseSizeDecay
	}
	*e = responseSize(max(size, minResponseSize))
}

// expectedResponse returns the size that is expected of the response to a query: by the client's own responses of late, before
// the first by those to all clients' queries of that class.
func (s *Session) expectedResponse(class int) int {
	return int(cmp.Or(s.responseSize, s.manager.responseSizes[class], initialResponseSize))
}

// observeResponse has later estimates follow the size of a response.
func (s *Session) observeResponse(class, size int) {
	m := s.manager
	s.responseSize.observe(size)
	ofClass := m.responseSizes[class]
	ofClass.observe(size)
	if m.responseSizes == nil {
		m.responseSizes = map[int]responseSize{}
	}
	m.responseSizes[class] = ofClass
	s.typicalResponse.Store(int64(s.responseSize))
}

// reserveNext counts the memory of the expected response to a query that is next in order, if there is room for it. The
// response is written as soon as it is there, so it may be larger than expected.
func (x *Slot) reserveNext() bool {
	n := int64(responseCopies * x.session.expectedResponse(x.query.Class))
	if !x.session.manager.Budget.Reserve(membudget.Responses, n) {
		return false
	}
	x.countReserved(n)
	return true
}

// reserveWaiting counts the memory of the largest response to a query whose response may have to wait, if there is room for
// it.
func (x *Slot) reserveWaiting() bool {
	s := x.session
	budget := s.manager.Budget
	limit := budget.Limit(membudget.Responses)
	n := int64(max(maxValueResponse, s.expectedResponse(x.query.Class)))
	if s.responseBytes+n > limit/connectionShareDivisor {
		return false
	}
	if !budget.ReserveWithin(membudget.Responses, n, limit/waitingShareDivisor) {
		return false
	}
	x.countReserved(n)
	return true
}

// reserveLarger makes room for a response of n bytes. It returns false if the response is larger than what was reserved, has
// to wait, and there is no memory for it.
func (x *Slot) reserveLarger(n int64) bool {
	s := x.session
	more := n - x.reserved
	if more <= 0 || x.isNext() && s.writable() {
		return true
	}
	if !s.manager.Budget.Reserve(membudget.Responses, more) {
		return false
	}
	x.countReserved(more)
	return true
}

// countReserved records n more bytes that the budget has granted for the response.
func (x *Slot) countReserved(n int64) {
	x.reserved += n
	x.session.responseBytes += n
}

// holdResponse keeps a response until it is written. From now on its own size counts.
func (x *Slot) holdResponse(b []byte) {
	x.response = b
	more := int64(len(b)) - x.reserved
	x.session.manager.Budget.Add(membudget.Responses, more)
	x.countReserved(more)
}

// release gives back all memory of a command.
func (x *Slot) release() {
	s := x.session
	s.manager.Budget.Add(membudget.Responses, -x.reserved)
	x.countReserved(-x.reserved)
	x.response = nil
	s.releaseCommand(x.size)
}

// Shed answers a command for which there is no memory with a refusal, in its turn.
func (s *Session) Shed() {
	s.enqueueReserved(0, func(x *Slot) { x.shed("no memory for the command") })
}

func (x *Slot) shed(reason string) {
	if count := x.session.manager.CountShed; count != nil {
		count()
	}
	x.SetResponse(x.session.encode(request.Response{Status: request.Refused, Reason: reason}))
}
