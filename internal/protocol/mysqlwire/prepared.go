package mysqlwire

import (
	"bytes"
	"encoding/binary"
)

// PrepareResponse is the head of an answer to COM_STMT_PREPARE.
type PrepareResponse struct {
	ID              uint32
	Params, Columns int
}

// ParsePrepareResponse reads it.
func ParsePrepareResponse(b []byte) (p PrepareResponse, ok bool) {
	if len(b) < 12 || b[0] != 0 {
		return p, false
	}
	return PrepareResponse{ID: binary.LittleEndian.Uint32(b[1:]), Columns: int(binary.LittleEndian.Uint16(b[5:])),
		Params: int(binary.LittleEndian.Uint16(b[7:]))}, true
}

// Execute is a COM_STMT_EXECUTE taken apart after its statement id.
type Execute struct {
	NullBitmap []byte // the bitmap
	Types      []byte // two bytes a parameter
	Values     []byte
}

// ParseExecute reads the body after the command byte. types are those of the
// last execution, which a client need not say again.
func ParseExecute(b []byte, params int, types []byte) (e Execute, err error) {
	if len(b) < 9 {
		return e, ErrMalformed
	}
	if params == 0 {
		return e, nil
	}
	b = b[9:]
	n := (params + 7) / 8
	if len(b) < n+1 {
		return e, ErrMalformed
	}
	e.NullBitmap = bytes.Clone(b[:n])
	fresh := b[n]
	b = b[n+1:]
	if e.Types = types; fresh == 1 {
		if len(b) < 2*params {
			return e, ErrMalformed
		}
		e.Types, b = bytes.Clone(b[:2*params]), b[2*params:]
	}
	if len(e.Types) != 2*params {
		return e, ErrMalformed
	}
	e.Values = bytes.Clone(b)
	return e, nil
}

// Packet builds the execution for a server that may never have seen the types. It asks for no cursor.
func (e Execute) Packet(id uint32) []byte {
	head := append(binary.LittleEndian.AppendUint32(nil, id), 0, 1, 0, 0, 0)
	if len(e.Types) == 0 {
		return Command(ComStmtExecute, head)
	}
	return Command(ComStmtExecute, head, e.NullBitmap, []byte{1}, e.Types, e.Values)
}
