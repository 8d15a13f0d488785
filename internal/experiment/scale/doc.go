// Package scale measures how control plane load grows with the fleet. Voters and a few real gateways run as
// processes, beside hollow gateways: hundreds in one process, each running a gateway's control side over real
// sockets without a data path. Baseline measures the earlier design, in which every instance is a voter.
package scale
