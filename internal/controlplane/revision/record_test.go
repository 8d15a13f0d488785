package revision

import "testing"

func TestHashSeparatesKeyFromValue(t *testing.T) {
	if Hash("ab", []byte("c")) == Hash("a", []byte("bc")) {
		t.Error("the hash does not separate key and value")
	}
}

func TestGroupStringAndMemberKeys(t *testing.T) {
	if got := (Group{"mysql", 7}).String(); got != "mysql/7" {
		t.Error(got)
	}
	if !IsMember(MemberPrefix+"a") || IsMember(PairPrefix+"member/a") {
		t.Error("IsMember does not go by the key's prefix")
	}
}
