package revision

import "testing"

func TestHashTellsKeyFromValue(t *testing.T) {
	if Hash("ab", []byte("c")) == Hash("a", []byte("bc")) {
		t.Error("a byte may move between key and value unseen")
	}
}

func TestGroupNameAndMemberKeys(t *testing.T) {
	if got := (Group{"mysql", 7}).String(); got != "mysql/7" {
		t.Error(got)
	}
	if !IsMember(MemberPrefix+"a") || IsMember(PairPrefix+"member/a") {
		t.Error("member keys")
	}
}
