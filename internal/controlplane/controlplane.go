// Package controlplane contains the control plane. Its state machines (catalog, lease, membership, mode, roster) take
// events and the time as arguments and return actions; a test makes sure that they use no clocks, sockets or files. The
// packages store and agent connect them to disk and network.
package controlplane
