// Package scale measures how the control plane grows with the fleet: voters and some real gateways as processes, and beside
// them hollow gateways, hundreds in a process, which run a gateway's control side over real sockets without a data path.
// Baseline measures the design before: every instance a voter.
package scale
