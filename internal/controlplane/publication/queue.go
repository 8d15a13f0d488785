package publication

// Queue holds what an instance publishes for one wire: one list at a time, the newest. A newer list takes the place of one that is
// still being published. The zero Queue is empty.
type Queue struct {
	next   *Publication // the newest list that was loaded, until it is taken
	active *Publication // is being published
	// replaced is what was being published when next was loaded. It may have ended since.
	replaced *Publication
}

// Load sets the list to be published next.
func (q *Queue) Load(x *Publication) {
	if q.next != nil {
		x.Replace(q.next)
	} else {
		q.replaced = q.active
	}
	q.next = x
}

// HasNext reports whether a list was loaded that has not been taken.
func (q *Queue) HasNext() bool { return q.next != nil }

// Take returns the list to be published now: one that was loaded, or else the one that is being published; nil: none.
func (q *Queue) Take() *Publication {
	if q.next == nil {
		return q.active
	}
	if q.replaced != nil {
		q.next.Replace(q.replaced)
	}
	q.active, q.next, q.replaced = q.next, nil, nil
	return q.active
}

// End records that the publication of the list that was taken has ended.
func (q *Queue) End() { q.active = nil }
