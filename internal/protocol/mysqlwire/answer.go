package mysqlwire

import (
	"encoding/binary"
	"errors"
	"strings"
)

// Answer follows the packets that answer one command and tells when it is whole.
type Answer struct {
	Prepare bool
	Raw     []byte // the packets as they came
	Err     *Error
	Row     []byte // the first row's body
	First   []byte // the first packet's body
	defs    int    // definitions to come, with an EOF after each run of them
	runs    int
	rows    bool
}

// ErrMore says that a server answers with several results.
var ErrMore = errors.New("several results for one statement")

// Add takes a packet; done tells that the answer is whole.
func (a *Answer) Add(body, raw []byte) (done bool, err error) {
	a.Raw = append(a.Raw, raw...)
	first := a.First == nil
	if first {
		a.First = append([]byte{}, body...)
	}
	switch {
	case len(body) == 0:
		return false, ErrMalformed
	case body[0] == 0xff && (first || a.rows):
		e := ParseError(body)
		a.Err = &e
		return true, nil
	case first && a.Prepare:
		p, ok := ParsePrepared(body)
		if !ok {
			return false, ErrMalformed
		}
		for _, n := range []int{p.Params, p.Columns} {
			if n > 0 {
				a.defs += n
				a.runs++
			}
		}
		return a.runs == 0, nil
	case first && body[0] == 0:
		return true, moreResults(body, true)
	case first && body[0] == 0xfb:
		return false, errors.New("server asks for a local file")
	case first:
		n, _, ok := Lenenc(body)
		if !ok || n == 0 || n > 4096 {
			return false, ErrMalformed
		}
		a.defs, a.runs = int(n), 1
		return false, nil
	case a.rows && IsEOF(body):
		return true, moreResults(body, false)
	case a.rows:
		if a.Row == nil {
			a.Row = append([]byte{}, body...)
		}
		return false, nil
	case IsEOF(body):
		if a.runs--; a.runs == 0 {
			a.rows = !a.Prepare
			return a.Prepare, nil
		}
		return false, nil
	}
	if a.defs--; a.defs < 0 {
		return false, ErrMalformed
	}
	return false, nil
}

// moreResults looks for SERVER_MORE_RESULTS_EXISTS in the status.
func moreResults(body []byte, ok bool) error {
	status := body[min(3, len(body)):]
	if ok {
		_, rest, _ := Lenenc(body[1:])
		_, status, _ = Lenenc(rest)
	}
	if len(status) >= 1 && status[0]&8 != 0 {
		return ErrMore
	}
	return nil
}

// TextResult builds a result set of one column and at most one row.
func TextResult(column string, value *string) []byte {
	if value == nil {
		return result(column, nil)
	}
	return result(column, AppendLenenc(nil, *value))
}

// PreparedOK builds a server's answer to a prepared statement, with a parameter for each question mark.
func PreparedOK(id uint32, sql string) []byte {
	n := byte(strings.Count(sql, "?"))
	b := Packet(nil, 1, []byte{0}, binary.LittleEndian.AppendUint32(nil, id), []byte{0, 0, n, 0, 0, 0, 0})
	for i := range n {
		b = Packet(b, 2+i, []byte("a parameter's definition"))
	}
	if n > 0 {
		b = Packet(b, 2+n, []byte{0xfe, 0, 0, 2, 0})
	}
	return b
}

// BinaryResult builds the same as the answer to an execution: a row of one value, not null.
func BinaryResult(column, value string) []byte {
	return result(column, AppendLenenc([]byte{0, 0}, value))
}

func result(column string, row []byte) []byte {
	def := []byte("\x03def\x00\x00\x00")
	def = AppendLenenc(def, column)
	def = append(append(def, 0, 0x0c, 45, 0, 0, 0, 1, 0), 0xfd, 0, 0, 0, 0, 0)
	b := Packet(nil, 1, []byte{1})
	b = Packet(b, 2, def)
	b = Packet(b, 3, []byte{0xfe, 0, 0, 2, 0})
	seq := byte(4)
	if row != nil {
		b = Packet(b, seq, row)
		seq++
	}
	return Packet(b, seq, []byte{0xfe, 0, 0, 2, 0})
}
