package daemon

import (
	"database/sql"
	"fmt"
	"strings"
	"testing"

	_ "github.com/go-sql-driver/mysql"

	"aspenshed/internal/experiment/standin"
)

// The MySQL front end of the demonstration serves an ordinary client, with text and prepared statements. Orders follow
// the primary in a switchover, and none runs twice.
func TestMySQLClientDuringSwitchover(t *testing.T) {
	d, err := NewDemo(t.TempDir(), DemoOptions{Instances: 1, Limits: standin.DefaultLimits()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	db, err := sql.Open("mysql", fmt.Sprintf("web:pass@tcp(%s)/app", d.Instances[0].Front(WireMySQL).Net.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	query := func(args []any, sql string) (row string, err error) {
		return row, db.QueryRow(sql, args...).Scan(&row)
	}
	eventually(t, "a served read", func() bool {
		_, err := query(nil, "SELECT payload FROM entries /* id=r,c=report */")
		return err == nil
	})
	group := d.Databases["mysql"]
	n := 0
	for _, to := range []string{"my-a", "my-b", "my-c"} {
		group.Promote(to)
		eventually(t, "an order at "+to, func() bool {
			n++
			row, err := query([]any{n}, fmt.Sprintf("SELECT place(?) /* id=b%d,c=order */", n))
			return err == nil && strings.HasPrefix(row, "b")
		})
	}
	if n := group.MaxExecutions(); n != 1 {
		t.Errorf("an order ran %d times", n)
	}
}
