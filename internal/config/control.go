package config

import (
	"fmt"
	"slices"

	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/store"
)

const (
	// maxVoters bounds the voters that serve the control stream: more of them commit more slowly, and add no safety.
	maxVoters = 5
	// maxServers bounds the servers to subscribe to: all voters, and those of another installation during a migration.
	maxServers = 16
	// maxNameBytes bounds names that are sent over the control stream.
	maxNameBytes = 256
	// maxScopeItems bounds the groups and sites of a scope, as the control stream does.
	maxScopeItems = 7000
)

// supportedWires are the wire protocols that members may speak, as the catalog names them.
var supportedWires = []string{"mysql", "postgres"}

// Store is the store section: it configures an instance of the store, or a gateway that subscribes to one.
type Store struct {
	store.Config `yaml:",inline"`
	Control      `yaml:",inline"`
}

// Control configures an instance's role in the control stream.
type Control struct {
	Subscribers string   `yaml:"subscribers"` // host:port where a voter serves the control stream; empty: off
	Subscribe   []string `yaml:"subscribe"`   // host:port of voters that a gateway without vote, log and disk subscribes to
	Region      string   `yaml:"region"`
	Zone        string   `yaml:"zone"`
	Scope       Scope    `yaml:"scope"`
}

// Scope limits the members that a subscriber receives. Empty: all members.
type Scope struct {
	Groups []ScopeGroup `yaml:"groups"`
	Sites  []string     `yaml:"sites"`
}

// ScopeGroup is one group of a wire protocol.
type ScopeGroup struct {
	Wire  string `yaml:"wire"`
	Group int    `yaml:"group"`
}

// IsSubscriber reports whether the instance is a gateway without a vote.
func (c *Control) IsSubscriber() bool { return len(c.Subscribe) > 0 }

// Empty reports whether the file enables neither a front end nor a role in the control plane.
func (d *Deploy) Empty() bool {
	return d.MySQL.Listen == "" && d.Postgres.Listen == "" && d.Store.Address == "" && !d.Store.IsSubscriber()
}

// RevisionScope converts the scope to the form that the control plane uses.
func (s Scope) RevisionScope() (out revision.Scope) {
	for _, g := range s.Groups {
		out.Groups = append(out.Groups, revision.Group{Wire: g.Wire, ID: int32(g.Group)})
	}
	out.Sites = slices.Clone(s.Sites)
	return out
}

// check validates the whole section.
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
			c.addFault("store."+f.name, "only allowed in an instance that subscribes")
		}
	}
	if s.Subscribers != "" {
		s.checkServer(c)
	}
}

// checkServer validates a voter that serves the control stream.
func (s *Store) checkServer(c *checker) {
	switch {
	case !isHostPort(s.Subscribers):
		c.addFault("store.subscribers", "%q is not host:port", s.Subscribers)
	case s.Address == "":
		c.addFault("store.subscribers", "an in-memory store cannot serve subscribers: its revisions are lost with it")
	case !hasEphemeralPort(s.Subscribers) && (s.Subscribers == s.Address || s.Subscribers == s.Service):
		c.addFault("store.subscribers", "is also the store's address or service")
	}
	if len(s.Peers) > maxVoters {
		c.addFault("store.peers", "%d peers, at most %d where subscribers are served: more gateways can subscribe", len(s.Peers), maxVoters)
	}
}

// checkSubscriber validates a gateway without a vote.
func (s *Store) checkSubscriber(c *checker) {
	for _, f := range []struct {
		name  string
		given bool
	}{{"address", s.Address != ""}, {"service", s.Service != ""}, {"peers", len(s.Peers) > 0}, {"data_dir", s.DataDir != ""},
		{"subscribers", s.Subscribers != ""}} {
		if f.given {
			c.addFault("store."+f.name, "not allowed in an instance that subscribes")
		}
	}
	for _, f := range []struct{ name, value string }{{"cluster", s.Cluster}, {"id", s.ID}} {
		if f.value == "" {
			c.addFault("store."+f.name, "missing")
		}
	}
	for _, f := range []struct{ name, value string }{{"id", s.ID}, {"region", s.Region}, {"zone", s.Zone}} {
		if len(f.value) > maxNameBytes {
			c.addFault("store."+f.name, "%d bytes, at most %d", len(f.value), maxNameBytes)
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
		c.addFault("store.subscribe", "%d servers, at most %d", len(s.Subscribe), maxServers)
	}
	for i, server := range s.Subscribe {
		field := fmt.Sprintf("store.subscribe[%d]", i)
		switch {
		case !isHostPort(server):
			c.addFault(field, "%q is not host:port", server)
		case slices.Contains(s.Subscribe[:i], server):
			c.addFault(field, "is a duplicate")
		}
	}
}

func (s Scope) check(c *checker) {
	if n := len(s.Groups) + len(s.Sites); n > maxScopeItems {
		c.addFault("store.scope", "%d groups and sites, at most %d", n, maxScopeItems)
	}
	for i, g := range s.Groups {
		field := fmt.Sprintf("store.scope.groups[%d]", i)
		switch {
		case !slices.Contains(supportedWires, g.Wire):
			c.addFault(field+".wire", "%q is not one of %v", g.Wire, supportedWires)
		case g.Group < 0 || g.Group > 1<<31-1:
			c.addFault(field+".group", "%d is not a group number", g.Group)
		case slices.Contains(s.Groups[:i], g):
			c.addFault(field, "is a duplicate")
		}
	}
	for i, site := range s.Sites {
		field := fmt.Sprintf("store.scope.sites[%d]", i)
		switch {
		case site == "" || len(site) > maxNameBytes:
			c.addFault(field, "must have 1 to %d bytes", maxNameBytes)
		case slices.Contains(s.Sites[:i], site):
			c.addFault(field, "is a duplicate")
		}
	}
}

// hasEphemeralPort reports whether the operating system chooses the port.
func hasEphemeralPort(address string) bool {
	return len(address) > 2 && address[len(address)-2:] == ":0"
}
