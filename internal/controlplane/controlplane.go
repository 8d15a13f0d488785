// Package controlplane holds the control plane. Its state machines (catalog, lease, membership, mode, roster) take events
// and the time as arguments and return actions; a test keeps them free of clocks, sockets and files. The packages store
// and agent connect them to disk and network.
package controlplane
