package mysqlwire

import (
	"encoding/binary"
	"errors"
	"strings"
)

// ResponseReader follows the packets that answer one command and tells when it is whole.
type ResponseReader struct {
	IsPrepare      bool
	Raw            []byte // the packets as they came
	Err            *Error
	FirstRow       []byte // the first row's body
	FirstPacket    []byte // the first packet's body
	definitions    int    // definitions to come, with an EOF after each run of them
	definitionRuns int
	inRows         bool
}

// ErrMultipleResults says that a server answers with several results.
var ErrMultipleResults = errors.New("several results for one statement")

// Add takes a packet; done tells that the answer is whole.
func (a *ResponseReader) Add(body, raw []byte) (done bool, err error) {
	a.Raw = append(a.Raw, raw...)
	first := a.FirstPacket == nil
	if first {
		a.FirstPacket = append([]byte{}, body...)
	}
	switch {
	case len(body) == 0:
		return false, ErrMalformed
	case body[0] == 0xff && (first || a.inRows):
		e := ParseError(body)
		a.Err = &e
		return true, nil
	case first && a.IsPrepare:
		p, ok := ParsePrepareResponse(body)
		if !ok {
			return false, ErrMalformed
		}
		for _, n := range []int{p.Params, p.Columns} {
			if n > 0 {
				a.definitions += n
				a.definitionRuns++
			}
		}
		return a.definitionRuns == 0, nil
	case first && body[0] == 0:
		return true, checkMoreResults(body, true)
	case first && body[0] == 0xfb:
		return false, errors.New("server asks for a local file")
	case first:
		n, _, ok := ReadLenencInt(body)
		if !ok || n == 0 || n > 4096 {
			return false, ErrMalformed
		}
		a.definitions, a.definitionRuns = int(n), 1
		return false, nil
	case a.inRows && IsEOF(body):
		return true, checkMoreResults(body, false)
	case a.inRows:
		if a.FirstRow == nil {
			a.FirstRow = append([]byte{}, body...)
		}
		return false, nil
	case IsEOF(body):
		if a.definitionRuns--; a.definitionRuns == 0 {
			a.inRows = !a.IsPrepare
			return a.IsPrepare, nil
		}
		return false, nil
	}
	if a.definitions--; a.definitions < 0 {
		return false, ErrMalformed
	}
	return false, nil
}

// checkMoreResults looks for SERVER_MORE_RESULTS_EXISTS in the status.
func checkMoreResults(body []byte, ok bool) error {
	status := body[min(3, len(body)):]
	if ok {
		_, rest, _ := ReadLenencInt(body[1:])
		_, status, _ = ReadLenencInt(rest)
	}
	if len(status) >= 1 && status[0]&8 != 0 {
		return ErrMultipleResults
	}
	return nil
}

// TextResult builds a result set of one column and at most one row.
func TextResult(column string, value *string) []byte {
	if value == nil {
		return resultSet(column, nil)
	}
	return resultSet(column, AppendLenencString(nil, *value))
}

// PrepareOK builds a server's answer to a prepared statement, with a parameter for each question mark.
func PrepareOK(id uint32, sql string) []byte {
	n := byte(strings.Count(sql, "?"))
	b := AppendPacket(nil, 1, []byte{0}, binary.LittleEndian.AppendUint32(nil, id), []byte{0, 0, n, 0, 0, 0, 0})
	for i := range n {
		b = AppendPacket(b, 2+i, []byte("a parameter's definition"))
	}
	if n > 0 {
		b = AppendPacket(b, 2+n, []byte{0xfe, 0, 0, 2, 0})
	}
	return b
}

// BinaryResult builds the same as the answer to an execution: a row of one value, not null.
func BinaryResult(column, value string) []byte {
	return resultSet(column, AppendLenencString([]byte{0, 0}, value))
}

func resultSet(column string, row []byte) []byte {
	def := []byte("\x03def\x00\x00\x00")
	def = AppendLenencString(def, column)
	def = append(append(def, 0, 0x0c, 45, 0, 0, 0, 1, 0), 0xfd, 0, 0, 0, 0, 0)
	b := AppendPacket(nil, 1, []byte{1})
	b = AppendPacket(b, 2, def)
	b = AppendPacket(b, 3, []byte{0xfe, 0, 0, 2, 0})
	seq := byte(4)
	if row != nil {
		b = AppendPacket(b, seq, row)
		seq++
	}
	return AppendPacket(b, seq, []byte{0xfe, 0, 0, 2, 0})
}
