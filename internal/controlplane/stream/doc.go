// Package stream runs the control stream over sockets: a Server that a voter runs beside its replicated log, and a
// Client that keeps a subscriber's copy of the state. The protocol is implemented by the state machines of package
// subscription; here each of them has an event loop of its own, to which sockets, timers and callers only post. The
// data plane never waits for either end.
package stream
