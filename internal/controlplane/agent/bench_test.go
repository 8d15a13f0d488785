package agent

import (
	"fmt"
	"testing"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// BenchmarkTick measures a tick with one changed member out of 21,000, and one without changes.
func BenchmarkTick(b *testing.B) {
	h := newMemoryStore()
	entry := func(i int) *pb.Entry {
		return &pb.Entry{Id: fmt.Sprintf("db-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:3306", i/250, i%250), Site: "z1", Group: int32(i / 6), Wire: "mysql", Kind: "std", State: "in_service"}
	}
	var entries []*pb.Entry
	for i := range 21000 {
		entries = append(entries, entry(i))
	}
	// Members of the first inventory are warmed up.
	h.apply(&pb.Command{Body: &pb.Command_PutInventory{PutInventory: &pb.PutInventory{Members: entries, Author: "test"}}})
	if n := len(h.catalog.Members()); n != 21000 {
		b.Fatal(n)
	}
	a := newAgent(changeFeedStore{h}, noopPipeline{})
	loop := a.cfg.Loop
	a.Tick(0)
	loop.RunPending()
	b.Run("change", func(b *testing.B) {
		for i := range b.N {
			e := entry(i % 21000)
			e.Address = fmt.Sprint("10.9.9.9:", 1+(i+int(h.catalog.Index()))%60000)
			h.apply(&pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: []*pb.Entry{e}, Author: "test"}}})
			a.Tick(0)
			loop.RunPending()
		}
	})
	b.Run("idle", func(b *testing.B) {
		for range b.N {
			a.Tick(0)
			loop.RunPending()
		}
	})
}
