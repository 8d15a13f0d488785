package aspenshed

// sentWork is the work that a warming member may have received within the last overload window. An attempt reaches its
// member at some time between its start and its end, however long a network holds it: it counts from its start until an
// overload window after its end. So no window at the member holds more than was counted at its last start.
type sentWork struct {
	window Nanos
	open   float64 // of attempts that have not ended
	ended  []endedWork
	sum    float64 // of ended
}

// endedWork is the work of an attempt that has ended.
type endedWork struct {
	until Nanos // it counts until then
	work  float64
}

// begin counts an attempt.
func (s *sentWork) begin(work float64) { s.open += work }

// end counts an attempt that has ended with the work that its member may have received.
func (s *sentWork) end(now Nanos, work, received float64) {
	s.open -= work
	if received > 0 {
		s.ended, s.sum = append(s.ended, endedWork{now + s.window, received}), s.sum+received
	}
}

// total returns the work that counts now.
func (s *sentWork) total(now Nanos) float64 {
	for len(s.ended) > 0 && s.ended[0].until <= now {
		s.sum -= s.ended[0].work
		s.ended = s.ended[1:]
	}
	if len(s.ended) == 0 {
		s.ended, s.sum = nil, 0
	}
	return s.open + s.sum
}
