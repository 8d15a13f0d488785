// Package sqlcomment parses and rewrites the comment with the request's fields at the end of an SQL statement, on
// either front: /* id=9b1f,c=basket,t=acme,d=480,cluster=2 */.
package sqlcomment

import (
	"errors"
	"strconv"
	"strings"
)

// ErrNoComment is the error for a statement without such a comment at its end.
var ErrNoComment = errors.New("statement ends in no /* name=value,... */ comment")

// Statement is a statement with the fields of its comment.
type Statement struct {
	SQL                      string
	Fields                   map[string]string
	timeoutStart, timeoutEnd int // offsets of the value of d in SQL; 0 if it is absent
}

// Parse parses the comment at the end of a statement.
func Parse(sql string) (Statement, error) {
	s := Statement{SQL: sql, Fields: map[string]string{}}
	end := len(strings.TrimRight(sql, " ;\t\r\n"))
	if !strings.HasSuffix(sql[:end], "*/") {
		return s, ErrNoComment
	}
	start := strings.LastIndex(sql[:end], "/*")
	if start < 0 || start+4 > end {
		return s, ErrNoComment
	}
	for pos := start + 2; pos < end-2; {
		stop := pos + strings.IndexByte(sql[pos:end-2]+",", ',')
		part := strings.TrimSpace(sql[pos:stop])
		k, v, ok := strings.Cut(part, "=")
		if !ok && len(s.Fields) == 0 {
			return s, ErrNoComment // an ordinary comment
		}
		if !ok || k == "" {
			return s, errors.New("malformed comment: " + QuoteTruncated(part))
		}
		if _, twice := s.Fields[k]; twice {
			return s, errors.New("comment names " + QuoteTruncated(k) + " twice")
		}
		s.Fields[k] = v
		if k == "d" {
			s.timeoutStart = pos + strings.Index(sql[pos:stop], "d=") + 2
			s.timeoutEnd = s.timeoutStart + len(v)
		}
		pos = stop + 1
	}
	return s, nil
}

// QuoteTruncated quotes text from a client, truncated to a length fit for a log line or a response.
func QuoteTruncated(s string) string { return strconv.Quote(s[:min(len(s), 40)]) }

// Int returns a field as an integer, or def if it is absent.
func (s Statement) Int(name string, def int64) (int64, error) {
	v, ok := s.Fields[name]
	if !ok {
		return def, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, errors.New("comment: " + name + " is no whole number")
	}
	return n, nil
}

// WithTimeout returns the SQL with the value of d replaced, and otherwise unchanged.
func (s Statement) WithTimeout(ms int64) string {
	if s.timeoutStart == 0 {
		return s.SQL
	}
	return s.SQL[:s.timeoutStart] + strconv.FormatInt(max(ms, 1), 10) + s.SQL[s.timeoutEnd:]
}
