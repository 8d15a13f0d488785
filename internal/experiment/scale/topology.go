package scale

import (
	"fmt"
	"time"
)

// The topology of the target: 19 zones in 7 regions. Regions that hold voters come first.
const (
	RegionCount = 7
	ZoneCount   = 19
)

// One-way delays between a gateway and a server, set at the seam of the control stream's network. Regions stand on a ring.
const (
	DelayWithinZone     = 500 * time.Microsecond
	DelayWithinRegion   = 1 * time.Millisecond
	DelayNextRegion     = 15 * time.Millisecond // to a neighbour on the ring
	DelayPerExtraRegion = 12500 * time.Microsecond
	maxRegionSpan       = RegionCount / 2 // 40 ms one way, 80 ms there and back
)

// Zone is a place that fails as one.
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

// Zones are those of the target.
func Zones() []Zone { return zones }

// RegionName names a region.
func RegionName(region int) string { return fmt.Sprintf("region-%d", region) }

// GatewayZone is the zone of gateway number i: gateways are dealt out to zones in turn.
func GatewayZone(i int) int { return i % ZoneCount }

// ServerZone is the zone of voter number i: each voter stands in a region of its own.
func ServerZone(i int) int { return i % RegionCount }

// Delay is the one-way delay between two zones.
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
