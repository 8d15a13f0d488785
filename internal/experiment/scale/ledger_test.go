package scale

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

// recordsOf returns the records that an expected state describes.
func recordsOf(t *testing.T, e *ExpectedState) map[string][]byte {
	t.Helper()
	records := map[string][]byte{}
	put := func(key string, m proto.Message) {
		value, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		records[key] = value
	}
	for id, version := range e.memberVersions {
		m := &pb.Member{Entry: MemberEntry(e.memberIndexes[id], version)}
		if e.drainedMembers[id] {
			m.DrainedAt = 1
		}
		put(revision.MemberPrefix+id, m)
	}
	for key, member := range e.primaries {
		put(key, &pb.Primary{Member: member})
	}
	for key, value := range e.pairs {
		put(revision.PairPrefix+key, &pb.Pair{Key: key, Value: []byte(value)})
	}
	return records
}

func TestExpectedStateReportsLostChanges(t *testing.T) {
	e := NewExpectedState()
	c := &ChangeGenerator{expected: e, randomIndex: func(n int) int { return n / 2 }}
	for _, x := range []change{c.addMembers(0, 12), c.changeAddress(3), c.drain(MemberID(5)), c.primary(1, MemberID(7), time.Now().UnixNano()), c.setMarker()} {
		x.onCommitted()
	}
	if lost := e.Lost(recordsOf(t, e)); len(lost) != 0 {
		t.Errorf("nothing is lost: %v", lost)
	}
	for key, damaged := range map[string]proto.Message{
		revision.MemberPrefix + MemberID(1): nil,
		revision.MemberPrefix + MemberID(3): &pb.Member{Entry: MemberEntry(3, 0)},
		revision.MemberPrefix + MemberID(5): &pb.Member{Entry: MemberEntry(5, 0)},
		revision.PrimaryPrefix + "mysql/1":  &pb.Primary{Member: MemberID(6)},
		revision.PairPrefix + markerKey:     nil,
	} {
		records := recordsOf(t, e)
		delete(records, key)
		if damaged != nil {
			records[key], _ = proto.Marshal(damaged)
		}
		if lost := e.Lost(records); len(lost) != 1 || !strings.Contains(lost[0], key[strings.LastIndexByte(key, '/')+1:]) && !strings.Contains(lost[0], key) {
			t.Errorf("%s: %v", key, lost)
		}
	}
}

func TestTypicalChangesIncludeAllKinds(t *testing.T) {
	c := &ChangeGenerator{expected: NewExpectedState(), randomIndex: func(n int) int { return n - 1 }}
	c.addMembers(0, 12).onCommitted()
	kinds := map[string]int{}
	for n := range 40 {
		switch c.typicalChange(n, int64(n)).command.Body.(type) {
		case *pb.Command_UpsertMembers:
			kinds["rewrite"]++
		case *pb.Command_Drain:
			kinds["drain"]++
		case *pb.Command_ReportPrimary:
			kinds["primary"]++
		}
	}
	if kinds["rewrite"] != 36 || kinds["drain"] != 2 || kinds["primary"] != 2 {
		t.Errorf("%v", kinds)
	}
}
