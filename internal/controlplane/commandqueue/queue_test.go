package commandqueue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

func setCommand(key, value string) *pb.Command {
	return &pb.Command{Body: &pb.Command_Set{Set: &pb.Set{Key: key, Value: []byte(value)}}}
}

// A queue that is not drained refuses commands beyond its limit, returns ErrUnavailable for those that time out in it,
// and keeps only the newest offer of a key.
func TestFullQueueRefusesCommands(t *testing.T) {
	block, end := make(chan struct{}), make(chan struct{})
	var got []*pb.Batch
	q := New("o", func(b *pb.Batch) ([]*pb.Result, bool, error) {
		<-block
		got = append(got, b)
		return make([]*pb.Result, len(b.Commands)), false, nil
	}, end)
	done := make(chan struct{})
	errs := make(chan error, 2*maxSubmitted)
	for i := range 2 * maxSubmitted {
		go func() {
			_, err := q.Submit(setCommand(fmt.Sprint(i), ""), 20*time.Millisecond)
			errs <- err
		}()
	}
	busy := 0
	for range 2 * maxSubmitted {
		if err := <-errs; errors.Is(err, ErrBusy) {
			busy++
		} else if !errors.Is(err, ErrUnavailable) {
			t.Errorf("a command in no batch: %v", err)
		}
	}
	if q.Queued() != 0 {
		t.Errorf("%d commands are still queued", q.Queued())
	}
	for i := range 100 {
		q.Offer("same", setCommand("k", fmt.Sprint(i)))
	}
	go func() { q.Run(); close(done) }()
	close(block)
	for q.Queued() > 0 {
		time.Sleep(time.Millisecond)
	}
	close(end)
	<-done
	if len(got) != 1 || len(got[0].Commands) != 1 || string(got[0].Commands[0].GetSet().Value) != "99" {
		t.Errorf("submitted: %v (%d refused)", got, busy)
	}
}
