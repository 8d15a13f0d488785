package mysqlwire

import (
	"encoding/binary"
	"errors"
	"strings"
)

// ResponseReader reads the packets of the response to one command and detects its end.
type ResponseReader struct {
	IsPrepare      bool   // the command is COM_STMT_PREPARE
	Raw            []byte // the packets as received
	Err            *Error
	FirstRow       []byte // the body of the first row
	FirstPacket    []byte // the body of the first packet
	definitions    int    // number of definition packets left; an EOF follows each run of them
	definitionRuns int
	inRows         bool
}

// ErrMultipleResults is the error for a response with more than one result set.
var ErrMultipleResults = errors.New("multiple results for one statement")

// Add processes a packet. done reports whether the response is complete.
func (r *ResponseReader) Add(body, raw []byte) (done bool, err error) {
	r.Raw = append(r.Raw, raw...)
	first := r.FirstPacket == nil
	if first {
		r.FirstPacket = append([]byte{}, body...)
	}
	switch {
	case len(body) == 0:
		return false, ErrMalformed
	case body[0] == 0xff && (first || r.inRows):
		e := ParseError(body)
		r.Err = &e
		return true, nil
	case first && r.IsPrepare:
		p, ok := ParsePrepareResponse(body)
		if !ok {
			return false, ErrMalformed
		}
		for _, n := range []int{p.Params, p.Columns} {
			if n > 0 {
				r.definitions += n
				r.definitionRuns++
			}
		}
		return r.definitionRuns == 0, nil
	case first && body[0] == 0:
		return true, checkMoreResults(body, true)
	case first && body[0] == 0xfb:
		return false, errors.New("server requests a local file")
	case first:
		n, _, ok := ReadLenencInt(body)
		if !ok || n == 0 || n > 4096 {
			return false, ErrMalformed
		}
		r.definitions, r.definitionRuns = int(n), 1
		return false, nil
	case r.inRows && IsEOF(body):
		return true, checkMoreResults(body, false)
	case r.inRows:
		if r.FirstRow == nil {
			r.FirstRow = append([]byte{}, body...)
		}
		return false, nil
	case IsEOF(body):
		if r.definitionRuns--; r.definitionRuns == 0 {
			r.inRows = !r.IsPrepare
			return r.IsPrepare, nil
		}
		return false, nil
	}
	if r.definitions--; r.definitions < 0 {
		return false, ErrMalformed
	}
	return false, nil
}

// checkMoreResults checks for SERVER_MORE_RESULTS_EXISTS in the status of an OK or EOF packet.
func checkMoreResults(body []byte, isOK bool) error {
	status := body[min(3, len(body)):]
	if isOK {
		_, rest, _ := ReadLenencInt(body[1:])
		_, status, _ = ReadLenencInt(rest)
	}
	if len(status) >= 1 && status[0]&8 != 0 {
		return ErrMultipleResults
	}
	return nil
}

// TextResult returns a text result set of one column, and one row unless value is nil.
func TextResult(column string, value *string) []byte {
	if value == nil {
		return resultSet(column, nil)
	}
	return resultSet(column, AppendLenencString(nil, *value))
}

// PrepareOK returns a server's response to COM_STMT_PREPARE, with a parameter for each question mark.
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

// BinaryResult returns a binary result set, as in the response to an execution, of one column and one row.
func BinaryResult(column, value string) []byte {
	return resultSet(column, AppendLenencString([]byte{0, 0}, value))
}

func resultSet(column string, row []byte) []byte {
	definition := []byte("\x03def\x00\x00\x00")
	definition = AppendLenencString(definition, column)
	definition = append(append(definition, 0, 0x0c, 45, 0, 0, 0, 1, 0), 0xfd, 0, 0, 0, 0, 0)
	b := AppendPacket(nil, 1, []byte{1})
	b = AppendPacket(b, 2, definition)
	b = AppendPacket(b, 3, []byte{0xfe, 0, 0, 2, 0})
	seq := byte(4)
	if row != nil {
		b = AppendPacket(b, seq, row)
		seq++
	}
	return AppendPacket(b, seq, []byte{0xfe, 0, 0, 2, 0})
}
