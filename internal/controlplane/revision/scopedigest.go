package revision

import "strings"

// scopeDigests are the sums that every scope's digest is made of. Only who serves scopes has them.
type scopeDigests struct {
	shared     Digest // of the records that are not of members
	groups     map[uint32]Digest
	sites      map[uint32]Digest
	groupSites map[groupSite]groupSiteDigest
}

// groupSite is one group's members at one site, both by their interned numbers.
type groupSite struct{ group, site uint32 }

// groupSiteDigest is kept until the last of its members goes.
type groupSiteDigest struct {
	digest  Digest
	members int32
}

func newScopeDigests() *scopeDigests {
	return &scopeDigests{groups: map[uint32]Digest{}, sites: map[uint32]Digest{}, groupSites: map[groupSite]groupSiteDigest{}}
}

// add counts a record in, or out.
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

// sum is a normalized scope's digest. Who is in one of its groups and at one of its sites is counted twice at first.
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
