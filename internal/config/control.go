package config

import (
	"fmt"
	"slices"

	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/store"
)

const (
	// maxVoters serve the control stream: a majority of more takes longer to agree, and brings no further safety.
	maxVoters = 5
	// maxServers may be named to subscribe to: all voters, and those of an installation that is moved.
	maxServers = 16
	// maxNameBytes bounds names that go over the control stream.
	maxNameBytes = 256
	// maxScopeItems bounds the groups and sites of a scope, as the control stream does.
	maxScopeItems = 7000
)

// supportedWires are those that members may speak, as the catalog names them.
var supportedWires = []string{"mysql", "postgres"}

// Store is the store section: an instance of the store, or a gateway that subscribes to one.
type Store struct {
	store.Config `yaml:",inline"`
	Control      `yaml:",inline"`
}

// Control is an instance's part in the control stream.
type Control struct {
	Subscribers string   `yaml:"subscribers"` // host:port where a voter serves the control stream; empty: it does not
	Subscribe   []string `yaml:"subscribe"`   // where a gateway without a vote, log and disk gets it from
	Region      string   `yaml:"region"`
	Zone        string   `yaml:"zone"`
	Scope       Scope    `yaml:"scope"`
}

// Scope limits the members that a subscriber is told of. Empty: all members.
type Scope struct {
	Groups []ScopeGroup `yaml:"groups"`
	Sites  []string     `yaml:"sites"`
}

// ScopeGroup names one group of a wire.
type ScopeGroup struct {
	Wire  string `yaml:"wire"`
	Group int    `yaml:"group"`
}

// IsSubscriber reports whether the instance is a gateway that has no vote.
func (c *Control) IsSubscriber() bool { return len(c.Subscribe) > 0 }

// Empty reports whether the file configures neither a front nor a part in the control plane.
func (d *Deploy) Empty() bool {
	return d.MySQL.Listen == "" && d.Postgres.Listen == "" && d.Store.Address == "" && !d.Store.IsSubscriber()
}

// RevisionScope is the scope as the control plane names it.
func (s Scope) RevisionScope() (out revision.Scope) {
	for _, g := range s.Groups {
		out.Groups = append(out.Groups, revision.Group{Wire: g.Wire, ID: int32(g.Group)})
	}
	out.Sites = slices.Clone(s.Sites)
	return out
}

// check looks at the whole section.
func (s *Store) check(c *checker) {
	if s.IsSubscriber() {
		s.checkSubscriber(c)
		return
	}
	for _, f := range s.Validate() {
		c.addFault("store."+f.Field, "%s", f.Problem)
	}
	for _, f := range []struct {
		name  string
		given bool
	}{{"region", s.Region != ""}, {"zone", s.Zone != ""}, {"scope", len(s.Scope.Groups)+len(s.Scope.Sites) > 0}} {
		if f.given {
			c.addFault("store."+f.name, "only an instance that subscribes has one")
		}
	}
	if s.Subscribers != "" {
		s.checkServer(c)
	}
}

// checkServer looks at a voter that serves the control stream.
func (s *Store) checkServer(c *checker) {
	switch {
	case !isHostPort(s.Subscribers):
		c.addFault("store.subscribers", "%q is no host:port", s.Subscribers)
	case s.Address == "":
		c.addFault("store.subscribers", "an instance alone in memory serves none: its revisions end with it")
	case !hasEphemeralPort(s.Subscribers) && (s.Subscribers == s.Address || s.Subscribers == s.Service):
		c.addFault("store.subscribers", "is the store's address or service too")
	}
	if len(s.Peers) > maxVoters {
		c.addFault("store.peers", "%d of them, %d at most where subscribers are served: further gateways subscribe", len(s.Peers), maxVoters)
	}
}

// checkSubscriber looks at a gateway without a vote.
func (s *Store) checkSubscriber(c *checker) {
	for _, f := range []struct {
		name  string
		given bool
	}{{"address", s.Address != ""}, {"service", s.Service != ""}, {"peers", len(s.Peers) > 0}, {"data_dir", s.DataDir != ""},
		{"subscribers", s.Subscribers != ""}} {
		if f.given {
			c.addFault("store."+f.name, "an instance that subscribes has none")
		}
	}
	for _, f := range []struct{ name, value string }{{"cluster", s.Cluster}, {"id", s.ID}} {
		if f.value == "" {
			c.addFault("store."+f.name, "missing")
		}
	}
	for _, f := range []struct{ name, value string }{{"id", s.ID}, {"region", s.Region}, {"zone", s.Zone}} {
		if len(f.value) > maxNameBytes {
			c.addFault("store."+f.name, "%d bytes, %d at most", len(f.value), maxNameBytes)
		}
	}
	if s.InitialRules() == nil {
		c.addFault("store.pool", "pool, clock_bound or most_instances out of range")
	}
	s.checkServers(c)
	s.Scope.check(c)
}

func (s *Store) checkServers(c *checker) {
	if len(s.Subscribe) > maxServers {
		c.addFault("store.subscribe", "%d of them, %d at most", len(s.Subscribe), maxServers)
	}
	for i, server := range s.Subscribe {
		field := fmt.Sprintf("store.subscribe[%d]", i)
		switch {
		case !isHostPort(server):
			c.addFault(field, "%q is no host:port", server)
		case slices.Contains(s.Subscribe[:i], server):
			c.addFault(field, "is named twice")
		}
	}
}

func (s Scope) check(c *checker) {
	if n := len(s.Groups) + len(s.Sites); n > maxScopeItems {
		c.addFault("store.scope", "%d groups and sites, %d at most", n, maxScopeItems)
	}
	for i, g := range s.Groups {
		field := fmt.Sprintf("store.scope.groups[%d]", i)
		switch {
		case !slices.Contains(supportedWires, g.Wire):
			c.addFault(field+".wire", "%q is none of %v", g.Wire, supportedWires)
		case g.Group < 0 || g.Group > 1<<31-1:
			c.addFault(field+".group", "%d is no group", g.Group)
		case slices.Contains(s.Groups[:i], g):
			c.addFault(field, "is named twice")
		}
	}
	for i, site := range s.Sites {
		field := fmt.Sprintf("store.scope.sites[%d]", i)
		switch {
		case site == "" || len(site) > maxNameBytes:
			c.addFault(field, "a name has 1 to %d bytes", maxNameBytes)
		case slices.Contains(s.Sites[:i], site):
			c.addFault(field, "is named twice")
		}
	}
}

// hasEphemeralPort reports whether the system picks the port.
func hasEphemeralPort(address string) bool {
	return len(address) > 2 && address[len(address)-2:] == ":0"
}
