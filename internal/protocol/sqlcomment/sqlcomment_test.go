package sqlcomment

import "testing"

func TestOnlyDChanges(t *testing.T) {
	for _, c := range []struct{ sql, want string }{
		{"SELECT 'd=5 /* d=1 */' /* id=1,c=x,d=480,cluster=2 */", "SELECT 'd=5 /* d=1 */' /* id=1,c=x,d=77,cluster=2 */"},
		{"SELECT 1 /* d=480 */", "SELECT 1 /* d=77 */"},
		{"SELECT 1 /*id=d=3,d=1,k=v*/ ;", "SELECT 1 /*id=d=3,d=77,k=v*/ ;"},
		{"SELECT 1 /* id=1 */", "SELECT 1 /* id=1 */"},
	} {
		tag, err := Parse(c.sql)
		if got := tag.WithTimeout(77); err != nil || got != c.want {
			t.Errorf("%v: %q, want %q", err, got, c.want)
		}
	}
	if _, err := Parse("SELECT 1 /* an ordinary comment, of two parts */"); err != ErrNoComment {
		t.Errorf("an ordinary comment: %v", err)
	}
	for _, sql := range []string{"", "SELECT 1", "*/", "/*/", "SELECT /* id=1 */ 1", "SELECT 1 /* id */", "SELECT 1 /* a=1,a=2 */", "SELECT 1 /* =1 */"} {
		if _, err := Parse(sql); err == nil {
			t.Errorf("%q passed", sql)
		}
	}
}
