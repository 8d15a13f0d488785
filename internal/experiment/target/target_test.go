package target

import (
	"math"
	"testing"
)

func TestDerivedTargets(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want float64 // worked by hand
	}{
		{"statements a gateway", StatementsPerGateway(), 1208.33},
		{"clients a gateway", ClientsPerGateway(), 6666.67},
		{"gateways a zone", GatewaysPerZone(), 126.32},
		{"gateways a region", GatewaysPerRegion(), 342.86},
		{"databases a zone", DatabasesPerZone(), 1105.26},
		{"groups", Groups(), 3500},
		{"statements a database", StatementsPerDatabase(), 138.10},
		{"statements a group", StatementsPerGroup(), 828.57},
		{"changes a second", ChangesPerSecond(), 0.73},
		{"restarts a second", RestartsPerSecond(), 0.06},
	} {
		if math.Abs(c.got-c.want) > 0.005 {
			t.Errorf("%s: %v, by hand %v", c.name, c.got, c.want)
		}
	}
}
