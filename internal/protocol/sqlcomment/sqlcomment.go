// Package sqlcomment reads and rewrites the comment that a statement carries about
// itself, on either front: /* id=9b1f,c=basket,t=acme,d=480,cluster=2 */.
package sqlcomment

import (
	"errors"
	"strconv"
	"strings"
)

// ErrNoComment says that a statement has no such comment at its end.
var ErrNoComment = errors.New("statement ends in no /* name=value,... */ comment")

// Statement is a statement with its comment taken apart.
type Statement struct {
	SQL                      string
	Fields                   map[string]string
	timeoutStart, timeoutEnd int // where the value of d stands; 0: nowhere
}

// Parse reads the comment at the end of a statement.
func Parse(sql string) (Statement, error) {
	t := Statement{SQL: sql, Fields: map[string]string{}}
	end := len(strings.TrimRight(sql, " ;\t\r\n"))
	if !strings.HasSuffix(sql[:end], "*/") {
		return t, ErrNoComment
	}
	start := strings.LastIndex(sql[:end], "/*")
	if start < 0 || start+4 > end {
		return t, ErrNoComment
	}
	for at := start + 2; at < end-2; {
		stop := at + strings.IndexByte(sql[at:end-2]+",", ',')
		part := strings.TrimSpace(sql[at:stop])
		k, v, ok := strings.Cut(part, "=")
		if !ok && len(t.Fields) == 0 {
			return t, ErrNoComment // an ordinary comment
		}
		if !ok || k == "" {
			return t, errors.New("malformed comment: " + QuoteTruncated(part))
		}
		if _, twice := t.Fields[k]; twice {
			return t, errors.New("comment names " + QuoteTruncated(k) + " twice")
		}
		t.Fields[k] = v
		if k == "d" {
			t.timeoutStart = at + strings.Index(sql[at:stop], "d=") + 2
			t.timeoutEnd = t.timeoutStart + len(v)
		}
		at = stop + 1
	}
	return t, nil
}

// QuoteTruncated quotes what a client wrote, cut to what a log line or an answer should hold.
func QuoteTruncated(s string) string { return strconv.Quote(s[:min(len(s), 40)]) }

// Int reads a value as a whole number; def where it is absent.
func (t Statement) Int(name string, def int64) (int64, error) {
	v, ok := t.Fields[name]
	if !ok {
		return def, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, errors.New("comment: " + name + " is no whole number")
	}
	return n, nil
}

// WithTimeout is the statement with the value of d replaced; all else is as it was.
func (t Statement) WithTimeout(ms int64) string {
	if t.timeoutStart == 0 {
		return t.SQL
	}
	return t.SQL[:t.timeoutStart] + strconv.FormatInt(max(ms, 1), 10) + t.SQL[t.timeoutEnd:]
}
