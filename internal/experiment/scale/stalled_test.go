package scale

import (
	"testing"
	"time"

	"aspenshed"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
	"aspenshed/internal/controlplane/subscription"
)

func TestServerClosesSubscribersThatNeverRead(t *testing.T) {
	const stallTimeout = 200 * time.Millisecond
	server, err := stream.NewServer(stream.ServerConfig{Listen: "127.0.0.1:0", Cluster: clusterName,
		Machine: subscription.ServerConfig{StallTimeout: aspenshed.Nanos(stallTimeout)}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	var records []revision.Record
	for i := range 1000 {
		records = append(records, newMemberChange(t, 1, i, 0, 0).Record)
	}
	server.Reset(1, records)
	w := &Worker{}
	t.Cleanup(w.Close)
	do(t, w, Request{Configure: &Configure{Cluster: clusterName, Servers: []string{server.Addr()}}})
	do(t, w, Request{Stall: &Stall{Count: 3}})
	err = waitUntil(t.Context(), "the end of the stalled connections", testTimeout, func() bool { return server.Stats().Closed == 3 })
	if err != nil {
		t.Errorf("%v: %+v", err, server.Stats())
	}
	do(t, w, Request{Stall: &Stall{CheckClosed: true}})
	if state := do(t, w, Request{Report: &Report{}}).Fleet; state.Stalled != 3 || state.StalledClosed != 3 {
		t.Errorf("%+v", state)
	}
}
