package mysql

import (
	"testing"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/protocol/mysqlwire"
	"aspenshed/internal/protocol/sqlcomment"
)

// resultRecorder keeps the result of an attempt.
type resultRecorder struct{ result request.Result }

func (*resultRecorder) Ready()                             {}
func (*resultRecorder) AllowSend() bool                    { return true }
func (r *resultRecorder) Done(result request.Result)       { r.result = result }
func (*resultRecorder) Lost(request.ConnectionLoss, error) {}
func roleOf(sql string, response *mysqlwire.Error) (r aspenshed.Role, o aspenshed.Outcome) {
	recorder := &resultRecorder{}
	conn := &backendConn{events: recorder, stmt: &Statement{Tag: sqlcomment.Statement{SQL: sql}}}
	conn.finishAttempt(&mysqlwire.ResponseReader{Raw: mysqlwire.OK(1), Err: response})
	return recorder.result.Role, recorder.result.Outcome
}

// Guards bounded reads after a handover: a former primary that answered a statement which any server runs was trusted as
// the primary again. No statement of a client proves the role: a replica runs the first group for anybody, and the second on
// a temporary table, which pooled connections keep, or for an account that its read-only switch does not bind.
func TestSuccessOfStatementProvesNoRole(t *testing.T) {
	for _, sql := range []string{
		"EXPLAIN ANALYZE SELECT SUM(fare) FROM orders", "SHOW STATUS", "DESCRIBE orders", "WITH x AS (SELECT 1) SELECT * FROM x",
		"CREATE TEMPORARY TABLE t (a INT)", "CALL report()", "DO SLEEP(1)", "CHECK TABLE orders", "ANALYZE TABLE orders",
		"TABLE orders", "VALUES ROW(1)", "(SELECT 1)", "SELECT 1 INTO @a", "SELECT a FROM t FOR UPDATE", "FLUSH TABLES",
		"HANDLER orders OPEN", "KILL QUERY 5", "PREPARE s FROM 'SELECT 1'", "DROP TEMPORARY TABLE IF EXISTS t",

		"INSERT INTO seats (ref) VALUES ('a')", "UPDATE seats SET ref = 'a' WHERE FALSE", "DELETE FROM seats", "REPLACE INTO t VALUES (1)",
		"/*+ hint */ insert into seats values (1)", "CREATE TABLE IF NOT EXISTS t (a INT)",
	} {
		if role, outcome := roleOf(sql, nil); role != aspenshed.RoleUnknown || outcome != aspenshed.Served {
			t.Errorf("%s: role %d, outcome %d", sql, role, outcome)
		}
	}
}

// Guards writes: error 1290 names any option that forbids a statement. Only where the option is read-only does it tell that
// the server is no primary; a primary that refused an export was taken for a replica, and the statement sent again.
func TestRefusalTellsRoleOnlyIfReadOnly(t *testing.T) {
	running := func(option string) string {
		return "The MySQL server is running with the " + option + " option so it cannot execute this statement"
	}
	for _, c := range []struct {
		code    uint16
		message string
		role    aspenshed.Role
		outcome aspenshed.Outcome
	}{
		{1290, running("--read-only"), aspenshed.RoleReplica, aspenshed.Ineligible},
		{1290, running("--super-read-only"), aspenshed.RoleReplica, aspenshed.Ineligible},
		{1290, running("--read_only (super)"), aspenshed.RoleReplica, aspenshed.Ineligible},
		{1290, "read-only", aspenshed.RoleReplica, aspenshed.Ineligible},
		{1290, "", aspenshed.RoleReplica, aspenshed.Ineligible},
		{1836, "Running in read-only mode", aspenshed.RoleReplica, aspenshed.Ineligible},
		{1290, running("--secure-file-priv"), aspenshed.RoleUnknown, aspenshed.StatementError},
		{1290, running("--skip-grant-tables"), aspenshed.RoleUnknown, aspenshed.StatementError},
	} {
		role, outcome := roleOf("SELECT 1 INTO OUTFILE 'x'", &mysqlwire.Error{Code: c.code, State: "HY000", Message: c.message})
		if role != c.role || outcome != c.outcome {
			t.Errorf("%d %s: role %d, outcome %d, want %d, %d", c.code, c.message, role, outcome, c.role, c.outcome)
		}
	}
}
