package mysql

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/sqlcomment"
)

const (
	maxStatements = 1024 // prepared on one client connection
	maxLongData   = 1 << 20
	stmtOverhead  = 256 // bytes of a prepared statement besides its text
)

// preparedStmt is a client's prepared statement.
type preparedStmt struct {
	tag      sqlcomment.Statement
	params   atomic.Int32 // from the server; the loop sets it before the client gets the statement ID
	types    []byte
	longData []LongData
	longSize int
	// incomplete: there was no memory for a part of the long data, so the next execution is refused.
	incomplete bool
}

// prepare has any member prepare the statement, to learn its parameters and columns.
func (s *clientConn) prepare(sql string) {
	tag, ok := s.checkRoutable(sql)
	if !ok {
		return
	}
	if len(s.stmts) >= maxStatements {
		s.replyError(1461, "42000", "too many prepared statements on this connection")
		return
	}
	if !s.session.ReserveHeld(len(sql) + stmtOverhead) {
		s.session.Shed()
		return
	}
	s.lastID++
	id, st := s.lastID, &preparedStmt{tag: tag}
	s.stmts[id] = st
	s.submit(&Statement{Tag: tag, PrepareOnly: true}, tag, func(x request.Response) []byte {
		b := s.front.encodeResponse(x)
		if p, ok := mysqlwire.ParsePrepareResponse(b[4:]); ok && x.Status == request.Served {
			st.params.Store(int32(p.Params))
			binary.LittleEndian.PutUint32(b[5:], id) // the client uses our statement ID
		}
		return b
	})
}

// closeStmt forgets a prepared statement.
func (s *clientConn) closeStmt(id uint32) {
	st := s.stmts[id]
	s.dropLongData(st)
	s.session.ReserveHeld(-len(st.tag.SQL) - stmtOverhead)
	delete(s.stmts, id)
}

func (s *clientConn) dropLongData(st *preparedStmt) {
	s.session.ReserveHeld(-st.longSize)
	st.longData, st.longSize, st.incomplete = nil, 0, false
}

// addLongData keeps a part of a parameter for the next execution.
func (s *clientConn) addLongData(st *preparedStmt, body []byte) error {
	if len(body) < 6 {
		return mysqlwire.ErrMalformed
	}
	if st.longSize+len(body) > maxLongData {
		return mysqlwire.ErrTooLong
	}
	if !s.session.ReserveHeld(len(body)) {
		st.incomplete = true
		return nil
	}
	st.longSize += len(body)
	st.longData = append(st.longData, LongData{binary.LittleEndian.Uint16(body[4:]), append([]byte{}, body[6:]...)})
	return nil
}

func (s *clientConn) execute(st *preparedStmt, body []byte) error {
	e, err := mysqlwire.ParseExecute(body, int(st.params.Load()), st.types)
	if err != nil {
		return err
	}
	st.types = e.Types
	if st.incomplete {
		s.session.Shed()
	} else {
		s.submit(&Statement{Tag: st.tag, Execute: &e, LongData: st.longData}, st.tag, s.front.encodeResponse)
	}
	s.dropLongData(st)
	return nil
}

func (s *clientConn) statementCommand(com byte, id uint32, st *preparedStmt, body []byte) error {
	if st == nil {
		if com != mysqlwire.ComStmtClose && com != mysqlwire.ComStmtSendLongData { // these commands have no response
			s.replyError(1243, "HY000", fmt.Sprintf("Unknown prepared statement handler (%d)", id))
		}
		return nil
	}
	switch com {
	case mysqlwire.ComStmtClose:
		s.closeStmt(id)
	case mysqlwire.ComStmtReset:
		s.dropLongData(st)
		s.reply(mysqlwire.OK(1))
	case mysqlwire.ComStmtFetch:
		s.replyError(1421, "HY000", fmt.Sprintf("The statement (%d) has no open cursor.", id))
	case mysqlwire.ComStmtSendLongData:
		return s.addLongData(st, body)
	case mysqlwire.ComStmtExecute:
		return s.execute(st, body)
	}
	return nil
}
