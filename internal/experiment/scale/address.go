package scale

import "aspenshed/internal/experiment/loopback"

// freeAddresses returns distinct loopback addresses, whose ports are held for the daemons that will listen there.
func freeAddresses(count int) (addresses []string, err error) {
	for range count {
		address, err := loopback.HoldAddress()
		if err != nil {
			return addresses, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
