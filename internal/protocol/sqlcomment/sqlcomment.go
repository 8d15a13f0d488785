// Package sqlcomment parses and rewrites the comment with the request's fields at the end of an SQL statement, on
// either front: /* id=9b1f,c=basket,t=acme,d=480,cluster=2 */.
package sqlcomment

import (
	"errors"
	"strconv"
	"strings"
)

// Errors of a statement.
var (
	// ErrNoComment is the error for a statement without such a comment at its end.
	ErrNoComment     = errors.New("statement ends in no /* name=value,... */ comment")
	ErrTooManyFields = errors.New("comment has too many fields")
	ErrTooLong       = errors.New("comment is too long")
)

// Bounds of a comment. Protocols name fewer than ten fields.
const (
	MaxFields = 64
	MaxSize   = 8 << 10 // bytes
)

// timeoutField is the field that tells how long the client waits, in milliseconds.
const timeoutField = "d"

// Field is a field of a comment.
type Field struct{ Name, Value string }

// Fields are the fields of a comment, in their order.
type Fields []Field

// Lookup returns the value of a field and whether it is present.
func (f Fields) Lookup(name string) (value string, ok bool) {
	for _, field := range f {
		if field.Name == name {
			return field.Value, true
		}
	}
	return "", false
}

// Get returns the value of a field, or "" if it is absent.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Statement is a statement with the fields of its comment.
type Statement struct {
	SQL                      string
	Fields                   Fields
	timeoutStart, timeoutEnd int // offsets of the value of d in SQL; 0 if it is absent
}

// Parse parses the comment at the end of a statement.
func Parse(sql string) (Statement, error) {
	s := Statement{SQL: sql}
	end := len(strings.TrimRight(sql, " ;\t\r\n"))
	if !strings.HasSuffix(sql[:end], "*/") {
		return s, ErrNoComment
	}
	searched := max(end-MaxSize, 0)
	start := strings.LastIndex(sql[searched:end], "/*")
	if start < 0 && searched > 0 {
		return s, ErrTooLong
	}
	if start < 0 || searched+start+4 > end {
		return s, ErrNoComment
	}
	start += searched
	body := sql[:end-2]
	for pos := start + 2; pos < len(body); {
		stop := len(body)
		if i := strings.IndexByte(body[pos:], ','); i >= 0 {
			stop = pos + i
		}
		if err := s.addField(pos, stop); err != nil {
			return s, err
		}
		pos = stop + 1
	}
	return s, nil
}

// addField adds the field in SQL[start:stop].
func (s *Statement) addField(start, stop int) error {
	part := strings.TrimSpace(s.SQL[start:stop])
	name, value, ok := strings.Cut(part, "=")
	if !ok && len(s.Fields) == 0 {
		return ErrNoComment // an ordinary comment
	}
	if !ok || name == "" {
		return errors.New("malformed comment: " + QuoteTruncated(part))
	}
	if len(s.Fields) == MaxFields {
		return ErrTooManyFields
	}
	if _, twice := s.Fields.Lookup(name); twice {
		return errors.New("comment names " + QuoteTruncated(name) + " twice")
	}
	s.Fields = append(s.Fields, Field{name, value})
	if name == timeoutField {
		s.timeoutStart = start + strings.Index(s.SQL[start:stop], timeoutField+"=") + len(timeoutField) + 1
		s.timeoutEnd = s.timeoutStart + len(value)
	}
	return nil
}

// QuoteTruncated quotes text from a client, truncated to a length fit for a log line or a response.
func QuoteTruncated(s string) string { return strconv.Quote(s[:min(len(s), 40)]) }

// Int returns a field as an integer, or def if it is absent.
func (s Statement) Int(name string, def int64) (int64, error) {
	v, ok := s.Fields.Lookup(name)
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
