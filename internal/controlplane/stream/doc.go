// Package stream carries the control stream over sockets: a Server that a voter runs beside its replicated log, and a
// Client that keeps a subscriber's copy of the state. All decisions are made by the machines of package subscription;
// here each of them has an event loop of its own, to which sockets, timers and callers only post. Neither end's data
// plane ever waits for it.
package stream
