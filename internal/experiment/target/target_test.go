package target

import (
	"math"
	"testing"
)

func TestDerivedTargets(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want float64 // calculated by hand
	}{
		{"statements per gateway", StatementsPerGateway(), 1208.33},
		{"clients per gateway", ClientsPerGateway(), 6666.67},
		{"gateways per zone", GatewaysPerZone(), 126.32},
		{"gateways per region", GatewaysPerRegion(), 342.86},
		{"databases per zone", DatabasesPerZone(), 1105.26},
		{"groups", Groups(), 3500},
		{"statements per database", StatementsPerDatabase(), 138.10},
		{"statements per group", StatementsPerGroup(), 828.57},
		{"changes per second", ChangesPerSecond(), 0.73},
		{"restarts per second", RestartsPerSecond(), 0.06},
	} {
		if math.Abs(c.got-c.want) > 0.005 {
			t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
		}
	}
}
