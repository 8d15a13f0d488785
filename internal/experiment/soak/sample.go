package soak

import "time"

// sampleUntil calls sample at each interval until stop is closed, and then closes done.
func sampleUntil(stop <-chan struct{}, done chan<- struct{}, interval time.Duration, sample func()) {
	defer close(done)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			sample()
		}
	}
}
