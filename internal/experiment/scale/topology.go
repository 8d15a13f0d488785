package scale

import (
	"fmt"
	"time"
)

// The target topology: 19 zones in 7 regions. Regions with voters come first.
const (
	RegionCount = 7
	ZoneCount   = 19
)

// One-way delays between a gateway and a server, emulated below the control stream. Regions form a ring.
const (
	DelayWithinZone     = 500 * time.Microsecond
	DelayWithinRegion   = 1 * time.Millisecond
	DelayNextRegion     = 15 * time.Millisecond // to a neighbor on the ring
	DelayPerExtraRegion = 12500 * time.Microsecond
	maxRegionSpan       = RegionCount / 2 // 40 ms one way, 80 ms round trip
)

// Zone is a failure domain within a region.
type Zone struct {
	Name   string
	Region int
}

var zones = makeZones()

func makeZones() (out []Zone) {
	for i := range ZoneCount {
		region := i % RegionCount
		out = append(out, Zone{Name: fmt.Sprintf("region-%d-zone-%d", region, i/RegionCount), Region: region})
	}
	return out
}

// Zones returns the zones of the target.
func Zones() []Zone { return zones }

// RegionName returns the name of a region.
func RegionName(region int) string { return fmt.Sprintf("region-%d", region) }

// GatewayZone returns the zone of gateway number i: gateways are assigned to zones in turn.
func GatewayZone(i int) int { return i % ZoneCount }

// ServerZone returns the zone of voter number i: each voter is in a region of its own.
func ServerZone(i int) int { return i % RegionCount }

// Delay returns the one-way delay between two zones.
func Delay(from, to int) time.Duration {
	if from == to {
		return DelayWithinZone
	}
	a, b := zones[from].Region, zones[to].Region
	if a == b {
		return DelayWithinRegion
	}
	span := (a - b + RegionCount) % RegionCount
	span = min(span, RegionCount-span, maxRegionSpan)
	return DelayNextRegion + time.Duration(span-1)*DelayPerExtraRegion
}
