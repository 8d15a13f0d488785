// Package dispatch is the stage that carries attempts and probes to the members:
// it keeps a pool of links to each, one attempt on a link, and its time-outs.
package dispatch

import (
	"cmp"
	"slices"

	"aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/dataplane/eventloop"
	"aspenshed/internal/dataplane/request"
)

const (
	probeTimeout = aspenshed.Nanos(250e6)
	idleMargin   = aspenshed.Nanos(1e9) // idle links close this long before the member would
	sweepEvery   = aspenshed.Nanos(500e6)
	mostLinks    = 3                    // that an attempt takes up, as long as its statement has not left on any
	roomWait     = aspenshed.Nanos(2e6) // for the descriptor of a link that was closed to be given back: its poller does that
)

// Stage sends. All of it runs on the loop.
type Stage struct {
	Loop           *eventloop.Loop
	Log            *logrus.Entry
	Backend        request.Backend
	ConnectTimeout aspenshed.Nanos
	IdleClose      aspenshed.Nanos // 0: members never close idle links
	SoftRemoval    bool            // absence from the list does not end a member
	Get            func(id string) *request.Request
	Tell           func(aspenshed.Event)
	// Answered has a request answered; Settled hears of one that had its answer before its last attempt ended;
	// Attempted and Probed hear of every end.
	Answered  func(*request.Request, request.Result)
	Settled   func(*request.Request)
	Attempted func(q *request.Request, member string, r request.Result)
	Probed    func(member string, r request.Result)

	pools    map[string]*pool
	attempts map[string]*attempt // the one that is out, by request
}

type pool struct {
	id, address string
	wanted      bool    // the list has it up
	leaving     bool    // the list has said that it drains or is gone: nothing leaves for it from then on
	idle        []*link // the newest last
	probe       *link   // on which a probe is out
}

type attempt struct {
	r       *request.Request
	n       int
	p       *pool
	l       *link
	at      aspenshed.Nanos
	end     aspenshed.Nanos // when it is given up
	leaveBy aspenshed.Nanos // it must not leave later: what is known of the member's data is too old then; 0: no matter
	lay     aspenshed.Nanos // how long its link had lain idle; 0: a new one
	links   int             // taken up so far
	timer   *eventloop.Timer
	silence *eventloop.Timer // ends a link that does not show that it is alive
	ended   bool
}

// link is one connection and what is out on it.
type link struct {
	s       *Stage
	p       *pool
	c       request.Link
	up      bool
	closed  bool
	a       *attempt
	idle    aspenshed.Nanos // since when; 0: it has served nothing yet
	probing bool            // a probe's link, and one is out
	began   aspenshed.Nanos // that probe
	timer   *eventloop.Timer
}

// Start begins the sweep of idle links.
func (s *Stage) Start() {
	s.pools, s.attempts = map[string]*pool{}, map[string]*attempt{}
	s.sweep()
}

// Members keeps addresses, and closes what is idle at members that are not up. Those that are gone are forgotten,
// as ids are always new; what is still out there holds its pool itself.
func (s *Stage) Members(l aspenshed.MemberList, addresses map[string]string) {
	listed := map[string]bool{}
	for _, m := range l.Members {
		listed[m.ID] = true
		p := s.pools[m.ID]
		if p == nil {
			p = &pool{id: m.ID}
			s.pools[m.ID] = p
		}
		if a := addresses[m.ID]; a != "" && a != p.address {
			s.ClosePool(m.ID)
			p.address = a
		}
		p.leaving = m.State != aspenshed.Up
		if p.wanted = !p.leaving; p.leaving {
			s.ClosePool(p.id)
		}
		if m.State == aspenshed.Gone {
			delete(s.pools, m.ID)
		}
	}
	if !l.Whole {
		return
	}
	for _, p := range s.pools {
		if !listed[p.id] {
			p.wanted = false
			s.ClosePool(p.id)
			if !s.SoftRemoval {
				p.leaving = true
				delete(s.pools, p.id)
			}
		}
	}
}

// Send starts an attempt, the n-th of its request. leaveBy: when its statement must have left, if at all; 0: no matter.
func (s *Stage) Send(id, member string, n int, giveUpAt, leaveBy aspenshed.Nanos) {
	r, p := s.Get(id), s.pools[member]
	if r == nil { // its client left while the module decided, in the same batch: what that counted is given back
		s.Loop.Post(func() {
			s.Tell(aspenshed.Answer{ID: id, Attempt: n, Member: member, Outcome: aspenshed.NotSent, Over: true})
		})
		return
	}
	if p == nil || s.attempts[id] != nil {
		// Guards the rules: never a second copy, never a send to a member that the list does not know.
		s.Log.WithFields(logrus.Fields{"request": id, "member": member}).Error("send refused: unknown or out already")
		s.endLater(&attempt{r: r, n: n, p: p, at: s.Loop.Now()}, request.Result{Outcome: aspenshed.NotSent})
		r.Attempts++
		return
	}
	a := &attempt{r: r, n: n, p: p, at: s.Loop.Now(), end: r.Deadline, leaveBy: leaveBy}
	r.Attempts++
	s.attempts[id] = a
	if giveUpAt > 0 {
		a.end = min(a.end, giveUpAt)
	}
	a.timer = s.Loop.At(a.end, func() { s.giveUp(a, aspenshed.TimedOut) })
	s.carry(a)
}

// carry takes up the newest idle link for an attempt, or a new one.
func (s *Stage) carry(a *attempt) {
	a.links++
	l := s.takeIdle(a.p)
	if l == nil || a.links == mostLinks {
		var err error
		if l, err = s.open(a.p, false); err != nil && s.makeRoom() {
			if l, err = s.open(a.p, false); err != nil && a.links < mostLinks {
				s.Loop.At(s.Loop.Now()+roomWait, func() {
					if !a.ended {
						s.carry(a)
					}
				})
				return
			}
		}
		if err != nil { // our own want of descriptors: nothing against the member, and no use to wait for it
			s.endLater(a, request.Result{Outcome: aspenshed.NotSent, Detail: err.Error()})
			return
		}
	}
	a.l, l.a, a.lay = l, a, 0
	if l.idle > 0 {
		a.lay = max(s.Loop.Now()-l.idle, 1)
	}
	if l.up {
		l.write()
	}
}

// cut ends a link on which the attempt's statement did not leave. The attempt takes up another one, as members and
// the network drop links unseen; where the member can't be reached, or all are cut, it has not run.
func (s *Stage) cut(a *attempt, how request.End, detail string) {
	s.Loop.Stop(a.silence)
	a.l.a = nil
	a.l.close()
	a.l, a.r.Out = nil, false // its last byte was let go, maybe, but could not be written
	if how == request.CutBefore && a.links < mostLinks && !a.p.leaving {
		s.carry(a)
		return
	}
	s.endLater(a, request.Result{Outcome: aspenshed.NoLink, Detail: detail})
}

func (s *Stage) takeIdle(p *pool) *link {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if !s.stale(l) {
			return l
		}
		l.close()
	}
	return nil
}

func (s *Stage) stale(l *link) bool {
	return s.IdleClose > 0 && s.Loop.Now() >= l.idle+max(s.IdleClose-idleMargin, s.IdleClose/2)
}

// makeRoom closes the link that has lain idle for longest, of whichever member.
func (s *Stage) makeRoom() bool {
	var oldest *link
	for _, p := range s.pools {
		for _, l := range p.idle {
			if oldest == nil || l.idle < oldest.idle {
				oldest = l
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
	return oldest != nil
}

func (s *Stage) open(p *pool, probe bool) (*link, error) {
	l := &link{s: s, p: p}
	c, err := s.Backend.Open(p.address, s.ConnectTimeout, probe, l)
	if err != nil {
		return nil, err
	}
	l.c = c
	return l, nil
}

// Cancel gives one attempt up.
func (s *Stage) Cancel(id string, n int) {
	if a := s.attempts[id]; a != nil && a.n == n {
		s.giveUp(a, aspenshed.Cancelled)
	}
}

// giveUp closes the attempt's link before anything else may be sent for its request.
func (s *Stage) giveUp(a *attempt, o aspenshed.Outcome) {
	if o == aspenshed.TimedOut && (a.l == nil || !a.l.up || !a.l.c.Out()) {
		o = aspenshed.NoLink // the statement never left: no link came up in time
	}
	if a.l != nil {
		a.l.close()
	}
	s.end(a, request.Result{Outcome: o})
}

// Withdraw takes an attempt back whose request has its answer, or none to wait for it, before the statement has left:
// nothing may leave for it any more. One that is out is for the module to cancel or to let run.
func (s *Stage) Withdraw(r *request.Request) {
	if a := s.attempts[r.ID]; a != nil && !r.Out {
		if a.l != nil {
			a.l.a = nil
			a.l.close()
		}
		s.end(a, request.Result{Outcome: aspenshed.NotSent})
		s.Loop.Post(func() {}) // the module hears of it though this be one of its own actions
	}
}

// CloseAll gives up all attempts; nothing is told.
func (s *Stage) CloseAll() {
	for id, a := range s.attempts {
		s.Loop.Stop(a.timer)
		s.Loop.Stop(a.silence)
		if a.l != nil {
			a.l.close()
		}
		delete(s.attempts, id)
		if a.r.Final {
			s.Settled(a.r)
		}
	}
}

// Holds tells whether an attempt of the request is out.
func (s *Stage) Holds(r *request.Request) bool { return s.attempts[r.ID] != nil }

// endLater ends an attempt in the next batch, so that no decision is taken inside another's actions.
func (s *Stage) endLater(a *attempt, r request.Result) {
	s.Loop.Post(func() { s.end(a, r) })
}

func (s *Stage) end(a *attempt, res request.Result) {
	if a.ended { // given up while its end was on the way
		return
	}
	a.ended = true
	s.Loop.Stop(a.timer)
	s.Loop.Stop(a.silence)
	if s.attempts[a.r.ID] == a {
		delete(s.attempts, a.r.ID)
	}
	member := ""
	if a.p != nil {
		member = a.p.id
	}
	neverRan := res.Outcome == aspenshed.Full || res.Outcome == aspenshed.NoLink || res.Outcome == aspenshed.NotSent || res.Outcome == aspenshed.Turned
	a.r.Out = false
	res.Took, res.Lay = s.Loop.Now()-a.at, a.lay
	a.r.MayHaveRun = a.r.MayHaveRun || !neverRan
	s.Attempted(a.r, member, res)
	if a.r.Final {
		s.Settled(a.r)
	}
	answered := res.Outcome == aspenshed.Served || res.Outcome == aspenshed.Rejected
	if answered {
		s.Answered(a.r, res)
	} else if a.r.LastError = nil; res.Outcome == aspenshed.Errored {
		a.r.LastError = res.Value
	}
	s.Tell(aspenshed.Answer{ID: a.r.ID, Attempt: a.n, Member: member, Outcome: res.Outcome, Over: answered || a.r.Final,
		Took: s.Loop.Now() - a.at, Role: res.Role, Position: res.Position, Report: res.Report})
}

// Probe asks a member on an idle link, or a new one. Links are dear to a member that many gateways ask: the next
// attempt there goes out on the same one.
func (s *Stage) Probe(member string) {
	p := s.pools[member]
	if p == nil {
		return
	}
	if l := p.probe; l != nil {
		l.close()
		s.probed(l, request.Result{Outcome: aspenshed.TimedOut})
	}
	l := s.takeIdle(p)
	if l == nil {
		var err error
		if l, err = s.open(p, true); err != nil {
			s.Loop.Post(func() { s.probed(&link{s: s, p: p, began: s.Loop.Now()}, request.Result{Outcome: aspenshed.NoLink}) })
			return
		}
	}
	p.probe = l
	l.probing, l.began = true, s.Loop.Now()
	l.timer = s.Loop.At(l.began+probeTimeout, func() {
		l.close()
		s.probed(l, request.Result{Outcome: aspenshed.TimedOut})
	})
	if l.up {
		l.write()
	}
}

func (s *Stage) probed(l *link, r request.Result) {
	l.probing = false
	s.Loop.Stop(l.timer)
	s.Probed(l.p.id, r)
	s.Tell(aspenshed.Probed{Member: l.p.id, Outcome: r.Outcome, Took: s.Loop.Now() - l.began, Report: r.Report})
}

// Busy is the number of probes that are out and of attempts whose statement has not left yet.
func (s *Stage) Busy() (n int) {
	for _, p := range s.pools {
		if p.probe != nil {
			n++
		}
	}
	for _, a := range s.attempts {
		if a.l == nil || !a.l.c.Out() {
			n++
		}
	}
	return n
}

// ClosePool closes a member's idle links.
func (s *Stage) ClosePool(member string) {
	if p := s.pools[member]; p != nil {
		for _, l := range slices.Clone(p.idle) {
			l.close()
		}
	}
}

// sweep closes links before the member does: a statement that crosses the close would be lost.
func (s *Stage) sweep() {
	for _, p := range s.pools {
		for _, l := range slices.Clone(p.idle) {
			if s.stale(l) {
				l.close()
			}
		}
	}
	s.Loop.At(s.Loop.Now()+sweepEvery, s.sweep)
}

// write sends what the link was opened or taken for.
func (l *link) write() {
	s, a := l.s, l.a
	switch {
	case l.p.leaving: // the word came while the link did: not a byte more
		if a != nil {
			l.turn(deniedLeaving)
			return
		}
		if l.close(); l.probing {
			s.Loop.Post(func() { s.probed(l, request.Result{Outcome: aspenshed.NotSent}) })
		}
	case a != nil:
		limit := cmp.Or(s.ConnectTimeout, probeTimeout)
		a.silence = s.Loop.At(s.Loop.Now()+limit, func() {
			how := request.Unreachable
			if a.lay > 0 { // an old link may have been dropped unseen: only a new one tells
				how, a.links = request.CutBefore, mostLinks-1
			}
			s.cut(a, how, "link does not show that it is alive")
		})
		if !l.c.Send(a.r.Statement, a.end-s.Loop.Now()) { // the attempt's own remaining wait
			s.cut(a, request.CutBefore, "link closed before the statement left")
		}
	case l.probing:
		if !l.c.Probe() {
			l.close()
			s.Loop.Post(func() { s.probed(l, request.Result{Outcome: aspenshed.NoLink}) })
		}
	}
}

// Leave is asked when the attempt's last byte is about to leave.
func (l *link) Leave() bool {
	s, a := l.s, l.a
	if l.closed || a == nil {
		return false
	}
	s.Loop.Stop(a.silence)
	switch {
	case l.p.leaving: // guards drains: the word came after the statement's first bytes
		l.turn(deniedLeaving)
	case a.leaveBy > 0 && s.Loop.Now() > a.leaveBy: // guards the age of data and the time for repeats
		l.turn("it took too long to get here")
	default:
		a.r.Out = true
		return true
	}
	return false
}

const deniedLeaving = "the member was told to leave meanwhile"

// turn ends the attempt before its statement has left: it must not.
func (l *link) turn(why string) {
	a := l.a
	l.a = nil
	l.close()
	l.s.endLater(a, request.Result{Outcome: aspenshed.Turned, Detail: why})
}

// Up is called when the member is ready for a statement.
func (l *link) Up() {
	if l.closed {
		return
	}
	l.up = true
	l.write()
}

// Done is called when what was out has ended.
func (l *link) Done(r request.Result) {
	if l.closed {
		return
	}
	if r.Close {
		l.close()
	}
	l.idle = l.s.Loop.Now()
	if a := l.a; a != nil {
		l.a = nil
		l.rest()
		l.s.end(a, r)
	} else if l.probing {
		l.rest()
		l.s.probed(l, r)
	}
}

// rest leaves the link to the next attempt or probe.
func (l *link) rest() {
	if l.p.probe == l {
		l.p.probe = nil
	}
	switch {
	case l.closed:
	case l.p.wanted:
		l.p.idle = append(l.p.idle, l)
	default:
		l.close()
	}
}

// Down is called when the link is no more.
func (l *link) Down(how request.End, err error) {
	if l.closed {
		return
	}
	l.close()
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	r := request.Result{Outcome: aspenshed.NoLink, Detail: detail}
	if how == request.CutAfter {
		r.Outcome = aspenshed.LinkBroke
	}
	switch a := l.a; {
	case a != nil && how == request.CutAfter:
		l.a = nil
		l.s.end(a, r)
	case a != nil:
		l.s.cut(a, how, detail)
	case l.probing:
		l.s.probed(l, r)
	}
}

func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	l.c.Close()
	if l.p.probe == l {
		l.p.probe = nil
	}
	l.p.idle = slices.DeleteFunc(l.p.idle, func(x *link) bool { return x == l })
}
