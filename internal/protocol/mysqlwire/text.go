package mysqlwire

import (
	"strings"
)

// HasMultipleStatements reports whether a text contains more than one statement. Text in quotes and comments is
// ignored.
func HasMultipleStatements(sql string) bool {
	var quote byte
	afterEnd := false // a semicolon, and since then nothing that FirstKeyword would not skip
	for i := 0; i < len(sql); i++ {
		c := sql[i]
		switch {
		case quote != 0:
			if c == '\\' && quote != '`' {
				i++
			} else if c == quote {
				quote = 0
			}
		case afterEnd && isLetter(c):
			return true
		case c == ';':
			afterEnd = true
		case afterEnd && strings.IndexByte(skippedBeforeKeyword, c) >= 0:
		case c == '/' && strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return false
			}
			i += end + 3
		case c == '\'' || c == '"' || c == '`':
			quote, afterEnd = c, false
		case c == '#' || c == '-' && strings.HasPrefix(sql[i:], "-- "):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return false
			}
			i += end
			afterEnd = false
		default:
			afterEnd = false
		}
	}
	return false
}

// skippedBeforeKeyword are the characters that may stand before the first word of a statement.
const skippedBeforeKeyword = " \t\r\n;("

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

// FirstKeyword returns the first word of a statement in upper case, after comments.
func FirstKeyword(sql string) string {
	for {
		sql = strings.TrimLeft(sql, skippedBeforeKeyword)
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
