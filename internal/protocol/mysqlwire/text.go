package mysqlwire

import (
	"strings"
)

// HasMultipleStatements tells whether a text holds more than one statement. Quotes and comments do not count.
func HasMultipleStatements(sql string) bool {
	var quote byte
	for i := 0; i < len(sql); i++ {
		c := sql[i]
		switch {
		case quote != 0:
			if c == '\\' && quote != '`' {
				i++
			} else if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"' || c == '`':
			quote = c
		case c == '/' && strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return false
			}
			i += end + 3
		case c == '#' || c == '-' && strings.HasPrefix(sql[i:], "-- "):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return false
			}
			i += end
		case c == ';' && FirstKeyword(sql[i+1:]) != "":
			return true
		}
	}
	return false
}

// FirstKeyword is the first word of a statement in capitals, after comments.
func FirstKeyword(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;(")
		if !strings.HasPrefix(sql, "/*") {
			break
		}
		end := strings.Index(sql, "*/")
		if end < 0 {
			return ""
		}
		sql = sql[end+2:]
	}
	end := strings.IndexFunc(sql, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(sql)
	}
	return strings.ToUpper(sql[:end])
}
