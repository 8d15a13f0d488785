package config

import (
	"slices"
	"strings"
	"testing"

	"aspenshed/internal/controlplane/revision"
)

const voterSection = `store:
  cluster: c
  id: a
  address: 127.0.0.1:7001
  service: 127.0.0.1:7101
  data_dir: data
  subscribers: 127.0.0.1:7201
  peers:
    - {id: a, address: 127.0.0.1:7001, service: 127.0.0.1:7101}
`

const gatewaySection = `store:
  cluster: c
  id: gw1
  subscribe: [127.0.0.1:7201, 127.0.0.1:7202]
  region: tas
  zone: tas-1
  scope: {groups: [{wire: mysql, group: 3}], sites: [hobart]}
`

func TestControlPlaneRoles(t *testing.T) {
	voter, err := ParseDeploy("x.yaml", []byte(voterSection))
	if err != nil || voter.Store.IsSubscriber() || voter.Store.Subscribers != "127.0.0.1:7201" || voter.Empty() {
		t.Errorf("a voter: %v, %+v", err, voter.Store)
	}
	gateway, err := ParseDeploy("x.yaml", []byte(gatewaySection))
	if err != nil || !gateway.Store.IsSubscriber() || gateway.Store.Region != "tas" || gateway.Store.Zone != "tas-1" || gateway.Empty() {
		t.Errorf("a gateway: %v, %+v", err, gateway.Store)
	}
	scope := gateway.Store.Scope.RevisionScope()
	if !slices.Equal(scope.Groups, []revision.Group{{Wire: "mysql", ID: 3}}) || !slices.Equal(scope.Sites, []string{"hobart"}) {
		t.Errorf("scope %+v", scope)
	}
	if none, err := ParseDeploy("x.yaml", []byte("mysql:\n  listen: \"\"\n")); err != nil || !none.Empty() {
		t.Errorf("nothing: %v", err)
	}
}

// Settings that exclude each other are reported with field and line.
func TestControlPlaneFaults(t *testing.T) {
	var peers strings.Builder
	for _, p := range "bcdef" {
		peers.WriteString("    - {id: " + string(p) + ", address: 127.0.0.1:7" + string(p-'b'+'1') + "02, service: 127.0.0.1:7" + string(p-'b'+'1') + "03}\n")
	}
	for _, x := range []struct {
		section  string
		from, to string
		field    string
		line     int
		problem  string
	}{
		{voterSection, "subscribers: 127.0.0.1:7201", "subscribers: here", "store.subscribers", 7, "not host:port"},
		{voterSection, "subscribers: 127.0.0.1:7201", "subscribers: 127.0.0.1:7101", "store.subscribers", 7, "also the store's address or service"},
		{voterSection, "  data_dir: data\n", "  data_dir: data\n  region: tas\n", "store.region", 7, "only allowed in an instance that subscribes"},
		{voterSection, "  data_dir: data\n", "  data_dir: data\n  zone: tas\n", "store.zone", 7, "only allowed in an instance that subscribes"},
		{voterSection, "  data_dir: data\n", "  data_dir: data\n  scope: {sites: [a]}\n", "store.scope", 7, "only allowed in an instance that subscribes"},
		{voterSection, "127.0.0.1:7101}\n", "127.0.0.1:7101}\n" + peers.String(), "store.peers", 8, "6 peers, at most 5"},
		{"store:\n  subscribers: 127.0.0.1:7201\n", "", "", "store.subscribers", 2, "in-memory store"},
		{gatewaySection, "  id: gw1\n", "", "store.id", 1, "missing"},
		{gatewaySection, "  cluster: c\n", "", "store.cluster", 1, "missing"},
		{gatewaySection, "  id: gw1\n", "  id: gw1\n  address: 127.0.0.1:1\n", "store.address", 4, "not allowed in an instance that subscribes"},
		{gatewaySection, "  id: gw1\n", "  id: gw1\n  service: 127.0.0.1:1\n", "store.service", 4, "not allowed in an instance that subscribes"},
		{gatewaySection, "  id: gw1\n", "  id: gw1\n  data_dir: d\n", "store.data_dir", 4, "not allowed in an instance that subscribes"},
		{gatewaySection, "  id: gw1\n", "  id: gw1\n  subscribers: 127.0.0.1:1\n", "store.subscribers", 4, "not allowed in an instance that subscribes"},
		{gatewaySection, "  id: gw1\n", "  id: gw1\n  peers: [{id: a, address: b, service: c}]\n", "store.peers", 4, "not allowed in an instance that subscribes"},
		{gatewaySection, "127.0.0.1:7202", "there", "store.subscribe[1]", 4, "not host:port"},
		{gatewaySection, "127.0.0.1:7202", "127.0.0.1:7201", "store.subscribe[1]", 4, "is a duplicate"},
		{gatewaySection, "127.0.0.1:7202", strings.Repeat("127.0.0.1:7201, ", 16) + "127.0.0.1:7202", "store.subscribe", 4, "18 servers, at most 16"},
		{gatewaySection, "region: tas", "region: " + strings.Repeat("x", 257), "store.region", 5, "257 bytes"},
		{gatewaySection, "wire: mysql", "wire: http", "store.scope.groups[0].wire", 7, `"http" is not one of`},
		{gatewaySection, "group: 3", "group: -3", "store.scope.groups[0].group", 7, "-3 is not a group number"},
		{gatewaySection, "sites: [hobart]", `sites: [hobart, ""]`, "store.scope.sites[1]", 7, "1 to 256 bytes"},
		{gatewaySection, "sites: [hobart]", "sites: [hobart, hobart]", "store.scope.sites[1]", 7, "is a duplicate"},
		{gatewaySection, "  id: gw1\n", "  id: gw1\n  pool: 7\n", "store.pool", 4, "out of range"},
	} {
		text := x.section
		if x.from != "" {
			text = strings.Replace(text, x.from, x.to, 1)
		}
		_, err := ParseDeploy("x.yaml", []byte(text))
		found := slices.ContainsFunc(Faults(err), func(f Fault) bool {
			return f.Field == x.field && f.Line == x.line && strings.Contains(f.Problem, x.problem)
		})
		if !found {
			t.Errorf("%q: want %s on line %d: %s; got %v", x.to, x.field, x.line, x.problem, err)
		}
	}
}
