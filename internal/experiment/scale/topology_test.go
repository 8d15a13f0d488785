package scale

import "testing"

func TestTopology(t *testing.T) {
	regions := map[int]int{}
	for _, z := range Zones() {
		regions[z.Region]++
	}
	if len(Zones()) != 19 || len(regions) != 7 {
		t.Fatalf("%d zones in %d regions", len(Zones()), len(regions))
	}
	for a := range ZoneCount {
		for b := range ZoneCount {
			d := Delay(a, b)
			if d != Delay(b, a) || d < DelayWithinZone || d > 40e6 {
				t.Errorf("zones %d and %d: %v and %v", a, b, d, Delay(b, a))
			}
		}
	}
	if Delay(0, 3) != 40e6 || Delay(0, 6) != DelayNextRegion || Delay(0, 7) != DelayWithinRegion {
		t.Errorf("%v %v %v", Delay(0, 3), Delay(0, 6), Delay(0, 7))
	}
}
