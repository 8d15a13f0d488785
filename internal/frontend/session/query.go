package session

import (
	"cmp"
	"errors"
	"strings"

	"aspenshed"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/protocol/sqlcomment"
)

// BuildQuery builds a query from the fields of a statement's comment, which gives class and tenant by name.
func (m *Manager) BuildQuery(tag sqlcomment.Statement, statement any) (q request.Query, err error) {
	q = request.Query{ExternalID: tag.Fields.Get("id"), Statement: statement, IsRetry: tag.Fields.Get("r") == "1"}
	if q.Class = m.ClassIndex(tag.Fields.Get("c")); q.Class < 0 {
		return q, errors.New("unknown class " + sqlcomment.QuoteTruncated(tag.Fields.Get("c")))
	}
	if t, ok := tag.Fields.Lookup("t"); ok && len(m.Settings.Tenants) > 0 {
		if q.Tenant = m.tenantIndex(t); q.Tenant < 0 {
			return q, errors.New("unknown tenant " + sqlcomment.QuoteTruncated(t))
		}
	}
	if n := m.Settings.Classes[q.Class].Consistency; n == aspenshed.ReadYourWrites || n == aspenshed.Write {
		q.Session = sessionKey(tag.SQL)
	}
	wait, err := tag.Int("d", 0)
	if err != nil {
		return q, err
	}
	if wait <= 0 || wait > 1e7 {
		return q, errors.New("comment: d is missing or out of range")
	}
	q.Timeout = aspenshed.Nanos(wait * 1e6)
	group, err := tag.Int("cluster", -1)
	if err != nil {
		return q, err
	}
	q.Group = int(group)
	after, err := tag.Int("after", 0)
	if err == nil && after > 0 {
		q.SinceCommit = cmp.Or(m.Loop.Now()-eventloop.FromUnixMillis(after), 1)
	}
	return q, err
}

// ClassIndex returns the index of a class, or -1.
func (m *Manager) ClassIndex(name string) int {
	for i, c := range m.Settings.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

func (m *Manager) tenantIndex(name string) int {
	for i, t := range m.Settings.Tenants {
		if t.Name == name {
			return i
		}
	}
	return -1
}

// sessionKey returns the first quoted value of a statement: statements with the same value belong to one session.
func sessionKey(sql string) string {
	parts := strings.SplitN(sql, "'", 3)
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}
