package revision

import "strings"

// scopeDigests holds the partial sums from which the digest of any scope is computed. Only states that have been asked
// for a scoped digest have them.
type scopeDigests struct {
	shared     Digest // of the records that are not members
	groups     map[uint32]Digest
	sites      map[uint32]Digest
	groupSites map[groupSite]groupSiteDigest
}

// groupSite identifies one group's members at one site, both by their interned numbers.
type groupSite struct{ group, site uint32 }

// groupSiteDigest is the digest of one group's members at one site. It is dropped with the last of them.
type groupSiteDigest struct {
	digest  Digest
	members int32
}

func newScopeDigests() *scopeDigests {
	return &scopeDigests{groups: map[uint32]Digest{}, sites: map[uint32]Digest{}, groupSites: map[groupSite]groupSiteDigest{}}
}

// add adds a record to the partial sums, or subtracts it if in is false.
func (d *scopeDigests) add(e entry, hash Digest, in bool) {
	members := int32(1)
	if !in {
		hash, members = -hash, -1
	}
	if !strings.HasPrefix(string(e.key), MemberPrefix) {
		d.shared += hash
		return
	}
	d.groups[e.group] += hash
	d.sites[e.site] += hash
	at := groupSite{e.group, e.site}
	c := d.groupSites[at]
	c.digest += hash
	c.members += members
	if c.members == 0 {
		delete(d.groupSites, at)
		return
	}
	d.groupSites[at] = c
}

// sum returns the digest of a normalized scope. It adds up groups and sites and then subtracts the members that are
// both in one of the groups and at one of the sites, which were counted twice.
func (d *scopeDigests) sum(s *State, scope Scope) Digest {
	sum := d.shared
	for _, g := range scope.Groups {
		if group, known := s.groups.numbers[g]; known {
			sum += d.groups[group]
		}
	}
	for _, name := range scope.Sites {
		site, known := s.sites.numbers[name]
		if !known {
			continue
		}
		sum += d.sites[site]
		for _, g := range scope.Groups {
			if group, known := s.groups.numbers[g]; known {
				sum -= d.groupSites[groupSite{group, site}].digest
			}
		}
	}
	return sum
}
