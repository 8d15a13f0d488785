package revision

import (
	"errors"
	"fmt"
	"math"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
)

// ValueError says that a record's value is not what its key promises.
type ValueError struct {
	Key string
	Err error
}

func (e *ValueError) Error() string { return fmt.Sprintf("record %q: %v", e.Key, e.Err) }

func (e *ValueError) Unwrap() error { return e.Err }

// The fields of catalog.Member and catalog.Entry that PlacementOf reads.
const (
	memberEntryField = 1
	entrySiteField   = 3
	entryGroupField  = 4
	entryWireField   = 8
)

var (
	errNoEntry     = errors.New("a member without an entry")
	errGroupNumber = errors.New("a group's number is out of range")
	errSiteName    = errors.New("a name is not valid UTF-8")
)

// PlacementOf reads group and site from a member's value without decoding the rest of it; records that are not of
// members have none.
func PlacementOf(key string, value []byte) (Placement, error) {
	if !IsMember(key) {
		return Placement{}, nil
	}
	p, err := parseMemberPlacement(value)
	if err != nil {
		return Placement{}, &ValueError{Key: key, Err: err}
	}
	return p, nil
}

func parseMemberPlacement(value []byte) (p Placement, err error) {
	found := false
	err = forEachField(value, func(field protowire.Number, _ uint64, bytes []byte) error {
		if field != memberEntryField {
			return nil
		}
		found = true
		p, err = parseEntryPlacement(bytes)
		return err
	})
	if err == nil && !found {
		err = errNoEntry
	}
	return p, err
}

func parseEntryPlacement(entry []byte) (p Placement, err error) {
	err = forEachField(entry, func(field protowire.Number, number uint64, bytes []byte) error {
		switch field {
		case entrySiteField:
			p.Site = string(bytes)
		case entryWireField:
			p.Group.Wire = string(bytes)
		case entryGroupField:
			group := int64(number)
			if group < math.MinInt32 || group > math.MaxInt32 {
				return errGroupNumber
			}
			p.Group.ID = int32(group)
		}
		return nil
	})
	if err == nil && !(utf8.ValidString(p.Site) && utf8.ValidString(p.Group.Wire)) {
		err = errSiteName
	}
	return p, err
}

// forEachField calls with each field of a message: a varint's number, or the bytes of a field that has a length.
func forEachField(message []byte, call func(field protowire.Number, number uint64, bytes []byte) error) error {
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return protowire.ParseError(n)
		}
		message = message[n:]
		var number uint64
		var bytes []byte
		switch kind {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			bytes, n = protowire.ConsumeBytes(message)
		default:
			n = protowire.ConsumeFieldValue(field, kind, message)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		message = message[n:]
		if err := call(field, number, bytes); err != nil {
			return err
		}
	}
	return nil
}
