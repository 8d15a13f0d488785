package revision

import (
	"cmp"
	"slices"
)

// Contains reports whether a record belongs to the scope.
func (s Scope) Contains(key string, p Placement) bool {
	return s.All() || !IsMember(key) || slices.Contains(s.Groups, p.Group) || slices.Contains(s.Sites, p.Site)
}

// Normalized is the same scope in its one form: sorted, each group and site once.
func (s Scope) Normalized() Scope {
	return Scope{Groups: sortedUnique(s.Groups, compareGroups), Sites: sortedUnique(s.Sites, cmp.Compare[string])}
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Wire, b.Wire), cmp.Compare(a.ID, b.ID))
}

// sortedUnique copies only what is not in order yet.
func sortedUnique[T comparable](values []T, compare func(a, b T) int) []T {
	inOrder := true
	for i := 1; i < len(values); i++ {
		inOrder = inOrder && compare(values[i-1], values[i]) < 0
	}
	if inOrder {
		return values
	}
	values = slices.Clone(values)
	slices.SortFunc(values, compare)
	return slices.Compact(values)
}

// Project is a change as it is seen within the scope: a record that leaves the scope is removed from it, and what
// neither was nor is in it is not seen at all (false). It has to come before Coalesce, which would else lose the
// change by which a record left.
func (s Scope) Project(c Change) (Change, bool) {
	if s.All() {
		return c, true
	}
	within := s.Contains(c.Key, c.Placement)
	if within && !c.Removed {
		return c, true
	}
	before := c.Before != nil && s.Contains(c.Key, c.Before.Placement)
	if c.Removed {
		return c, within || before
	}
	if !before {
		return Change{}, false
	}
	left := Record{Key: c.Key, Placement: c.Before.Placement}
	return Change{Revision: c.Revision, Record: left, Before: c.Before, Removed: true, Binding: true,
		CommittedAt: c.CommittedAt}, true
}

// Coalesce leaves of each key's changes the newest and all binding ones, in the order of their revisions.
func Coalesce(changes []Change) []Change {
	newest := make(map[string]int, len(changes))
	for i := range changes {
		newest[changes[i].Key] = i
	}
	if len(newest) == len(changes) {
		return changes
	}
	out := make([]Change, 0, len(newest))
	for i, c := range changes {
		if c.Binding || newest[c.Key] == i {
			out = append(out, c)
		}
	}
	return out
}
