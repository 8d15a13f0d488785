package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenshed"

	"aspenshed/internal/dataplane/request"
	"aspenshed/internal/frontend/postgres"
	"aspenshed/internal/frontend/session"
	"aspenshed/internal/netio"
	"aspenshed/internal/protocol/pgwire"
)

// hear is a raw client of the platform's wire: it sends bytes and notes the types of the messages, and the codes of errors.
func hear(t *testing.T, p *player) (*netio.Conn, func(until string) string) {
	got, up := make(chan string, 1000), make(chan bool)
	in := pgwire.Reader{MaxSize: 1 << 20}
	conn, err := p.net.Dial(p.address, patient, false, &peer{func() { close(up) }, func(b []byte) {
		_ = in.Feed(b, func(m pgwire.Message) error {
			word := string(rune(m.Type))
			switch m.Type {
			case 'E':
				e, _ := pgwire.ParseError(m.Body)
				word += e.Severity + e.Code + e.Detail
			case 'D':
				v, _ := pgwire.ParseSingleColumn(m.Body)
				word += v
			case 'S':
				return nil
			}
			got <- word + " "
			return nil
		})
	}, func() { got <- "closed" }})
	if err != nil {
		t.Fatal(err)
	}
	<-up
	return conn, func(until string) (all string) {
		t.Helper()
		for !strings.HasSuffix(all, until) {
			select {
			case w := <-got:
				all += w
			case <-time.After(patient):
				t.Fatalf("heard only %q", all)
			}
		}
		return all
	}
}

func TestPlatformBadInputIsAnswered(t *testing.T) {
	hello := string(pgwire.StartupMessage("web", "orders"))
	ask := func(sql string) string { return string(pgwire.QueryMessage(sql)) }
	for name, c := range map[string]struct{ send, want string }{
		"a query right behind the start": {hello + ask(" "), "R Z I Z "},
		"no comment":                     {hello + ask("SELECT 1"), "R Z EERROR42601 Z "},
		"no id":                          {hello + ask("SELECT 1 /* c=timetable,d=9,cluster=1 */"), "R Z EERROR42601 Z "},
		"unknown class":                  {hello + ask("SELECT 1 /* id=1,c=x,d=9,cluster=1 */"), "R Z EERROR42601 Z "},
		"unknown group":                  {hello + ask("SELECT 1 /* id=1,c=timetable,d=9,cluster=9 */"), "R Z EERROR42601 Z "},
		"no class, then a good command":  {hello + ask("SELECT 1 /* id=1 */") + ask(""), "R Z EERROR42601 Z I Z "},
		"an extended query":              {hello + "P\x00\x00\x00\x04", "R Z EFATAL08P01 closed"},
		"too long a query":               {hello + "Q\x00\xff\xff\xff", "R Z EFATAL08P01 closed"},
		"a length that lies":             {hello + "Q\x00\x00\x00\x01" + ask(""), "R Z EFATAL08P01 closed"},
		"a query that does not end":      {hello + "Q\x00\x00\x00\x05x", "R Z EFATAL08P01 closed"},
		"another protocol":               {"\x00\x00\x00\x08\x00\x02\x00\x00", "EFATAL08P01 closed"},
		"a cancel request":               {"\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x00\x00\x00\x00\x00", "closed"},
		"its leave":                      {hello + "X\x00\x00\x00\x04", "R Z closed"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(t, pgKit{}, []string{"a=primary"})
			conn, heard := hear(t, p)
			_ = conn.Write([]byte(c.send))
			last := c.want
			if !strings.HasSuffix(last, "closed") {
				last = c.want[len("R Z "):]
			}
			if got := heard(last); got != c.want {
				t.Errorf("heard %q, want %q", got, c.want)
			}
			if len(p.members["a"].Got) > 0 {
				t.Error("it was sent on")
			}
		})
	}
}

// Answers keep the order of their commands, whichever member is quicker.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	p := newPlayer(t, pgKit{}, []string{"a=primary", "b=replica"})
	conn, heard := hear(t, p)
	sql := func(class string) []byte {
		return pgwire.QueryMessage("SELECT 1 /* id=" + class + ",c=" + class + ",d=900,cluster=1 */")
	}
	next := func(member string) (g Got) {
		t.Helper()
		select {
		case g = <-p.members[member].Got:
		case <-time.After(patient):
			t.Fatalf("%s got nothing", member)
		}
		return g
	}
	_ = conn.Write(append(pgwire.StartupMessage("web", "orders"), sql("booking")...))
	next("a").Reply("served") // from now on the primary is known, and reads go to the replica
	heard("C Z ")
	_ = conn.Write(append(append(sql("booking"), sql("timetable")...), pgwire.QueryMessage("")...))
	slow, quick := next("a"), next("b")
	quick.Reply("served")
	p.until("the second answer", func() bool { return p.pipeline.Accounting.Counts.Served == 2 })
	slow.Reply("error")
	if got := heard("I Z "); got != "EERRORXX000 Z T Dv C Z I Z " {
		t.Errorf("heard %q", got)
	}
}

// The wait stands in field D where the settings allow advice, and nowhere else.
func TestRefusalCarriesItsWait(t *testing.T) {
	for allowed, want := range map[bool]string{true: "EERROR53300250 Z ", false: "EERROR53300 Z "} {
		s := Settings()
		s.SendRetryAfter = allowed
		var f *postgres.Front
		p := newPlayer(t, pgKit{}, []string{"a=primary"})
		f = &postgres.Front{Manager: session.Manager{Loop: p.loop, Settings: &s, CountRejected: func(string) {}, Submit: func(q request.Query, _ aspenshed.Nanos) *request.Request {
			q.Client.Respond(request.Response{Status: request.Refused, RetryAfter: 250 * ms, Reason: "try again"})
			return nil
		}}}
		n, err := netio.New(netio.Config{Listen: "127.0.0.1:0", MaxClients: 9, Accept: f.Accept})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Stop)
		p.address = n.Addr()
		conn, heard := hear(t, p)
		_ = conn.Write(append(pgwire.StartupMessage("web", "orders"), pgwire.QueryMessage("SELECT 1 /* id=1,c=booking,d=900,cluster=1 */")...))
		if got := heard(want); got != "R Z "+want {
			t.Errorf("advice allowed %t: heard %q", allowed, got)
		}
	}
}

// Guards "not sent on once its client has left" for one that sends much at once and goes: all of it has been read.
func TestWhoSendsMuchAndGoesIsOwedNothing(t *testing.T) {
	const many = 90
	p := newPlayer(t, pgKit{}, []string{"a=replica", "b=replica"})
	conn, _ := hear(t, p)
	all := pgwire.StartupMessage("web", "orders")
	for i := range many {
		all = append(all, pgwire.QueryMessage(fmt.Sprintf("INSERT INTO entries VALUES (1) /* id=%d,c=booking,d=5000,cluster=1 */", i))...)
	}
	_ = conn.Write(all)
	p.until("held requests", func() bool { return p.pipeline.Response.Pending() == many })
	conn.Close()
	p.until("its leave", func() bool { return p.pipeline.Response.Pending() == 0 })
	p.members["a"].Primary.Store(true)
	p.sent = many
	p.say("wait 500ms", "y send booking", "a expect booking", "a send served", "y expect served")
	if n := len(p.members["a"].Got) + len(p.members["b"].Got); n != 0 {
		t.Errorf("members got %d more", n)
	}
	p.on(p.loop.Quit)
}
