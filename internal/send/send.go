// Package send is the stage that carries attempts and probes to the members:
// it keeps a pool of links to each, one attempt on a link, and its time-outs.
package send

import (
	"slices"

	nc "aspenshed"

	"github.com/sirupsen/logrus"

	"aspenshed/internal/core"
)

const (
	probeTimeout = nc.Nanos(250e6)
	idleMargin   = nc.Nanos(1e9) // idle links close this long before the member would
	sweepEvery   = nc.Nanos(500e6)
	checkLimit   = nc.Nanos(1e9) // a link on which a check has no answer for that long is dead
)

// Stage sends. All of it runs on the loop.
type Stage struct {
	Loop           *core.Loop
	Log            *logrus.Entry
	Backend        core.Backend
	ConnectTimeout nc.Nanos
	IdleClose      nc.Nanos // 0: members never close idle links
	SoftRemoval    bool     // absence from the list does not end a member
	Get            func(id string) *core.Request
	Tell           func(nc.Event)
	// Answered has a request answered; Settled hears of one that had its answer before its last attempt ended;
	// Attempted and Probed hear of every end.
	Answered  func(*core.Request, core.Result)
	Settled   func(*core.Request)
	Attempted func(member string, r core.Result)
	Probed    func(member string, r core.Result)

	pools    map[string]*pool
	attempts map[string]*attempt // the one that is out, by request
}

type pool struct {
	id, address string
	wanted      bool    // the list has it up
	idle        []*link // the newest last
	probe       *link
}

type attempt struct {
	r     *core.Request
	n     int
	p     *pool
	l     *link
	at    nc.Nanos
	end   nc.Nanos // when it is given up
	lay   nc.Nanos // how long its link had lain idle; 0: a new one
	timer *core.Timer
}

// link is one connection and what is out on it.
type link struct {
	s       *Stage
	p       *pool
	c       core.Link
	up      bool
	closed  bool
	a       *attempt
	idle    nc.Nanos // since when
	clean   bool     // checked since its last answer
	probing bool     // a probe's link, and one is out
	began   nc.Nanos // that probe
	timer   *core.Timer
}

// Start begins the sweep of idle links.
func (s *Stage) Start() {
	s.pools, s.attempts = map[string]*pool{}, map[string]*attempt{}
	s.sweep()
}

// Members keeps addresses, and closes what is idle at members that are not up. Those that are gone are forgotten,
// as ids are always new; what is still out there holds its pool itself.
func (s *Stage) Members(l nc.MemberList, addresses map[string]string) {
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
		if p.wanted = m.State == nc.Up; !p.wanted {
			s.drop(p)
		}
		if m.State == nc.Gone {
			delete(s.pools, m.ID)
		}
	}
	for _, p := range s.pools {
		if l.Whole && !listed[p.id] {
			p.wanted = false
			s.drop(p)
			if !s.SoftRemoval {
				delete(s.pools, p.id)
			}
		}
	}
}

func (s *Stage) drop(p *pool) {
	s.ClosePool(p.id)
	if p.probe != nil && !p.probe.probing {
		p.probe.close()
	}
}

// Send starts an attempt on the newest idle link, or on a new one.
func (s *Stage) Send(id, member string, giveUpAt nc.Nanos) {
	r, p := s.Get(id), s.pools[member]
	if r == nil || p == nil || s.attempts[id] != nil {
		// Guards the rules: never a second copy, never a send for a request that has its answer.
		s.Log.WithFields(logrus.Fields{"request": id, "member": member}).Error("send refused: not live, unknown or out already")
		if r != nil {
			s.endLater(&attempt{r: r, n: r.Attempts, p: p, at: s.Loop.Now()}, core.Result{Outcome: nc.NotSent})
			r.Attempts++
		}
		return
	}
	a := &attempt{r: r, n: r.Attempts, p: p, at: s.Loop.Now(), end: r.Deadline}
	r.Attempts++
	s.attempts[id] = a
	if giveUpAt > 0 {
		a.end = min(a.end, giveUpAt)
	}
	if l := s.takeIdle(p); l != nil {
		a.l, a.lay = l, max(s.Loop.Now()-l.idle, 1)
	}
	if a.l == nil {
		l, err := s.open(p, false)
		if err != nil && s.makeRoom() {
			l, err = s.open(p, false)
		}
		if err != nil { // our own want of descriptors: nothing against the member, and no use to wait for it
			s.endLater(a, core.Result{Outcome: nc.NotSent, Detail: err.Error()})
			return
		}
		a.l = l
	}
	a.l.a = a
	a.timer = s.Loop.At(a.end, func() { s.giveUp(a, nc.TimedOut) })
	if a.l.up {
		a.l.write()
	}
}

// takeIdle takes the newest idle link, if there is one that is checked rather than one that is not yet: some
// members close right behind an answer or send what belongs to none, and what is sent on such a link is lost.
func (s *Stage) takeIdle(p *pool) *link {
	for _, l := range slices.Clone(p.idle) {
		if s.stale(l) {
			l.close()
		}
	}
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if p.idle[i].clean {
			at = i
			break
		}
	}
	if at < 0 {
		return nil
	}
	l := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	return l
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
		s.giveUp(a, nc.Cancelled)
	}
}

// giveUp closes the attempt's link before anything else may be sent for its request.
func (s *Stage) giveUp(a *attempt, o nc.Outcome) {
	if o == nc.TimedOut && (a.l == nil || !a.l.up || !a.l.c.Out()) {
		o = nc.NoLink // the statement never left: no link came up in time
	}
	if a.l != nil {
		a.l.close()
	}
	s.end(a, core.Result{Outcome: o})
}

// CloseAll gives up all attempts; nothing is told.
func (s *Stage) CloseAll() {
	for id, a := range s.attempts {
		s.Loop.Stop(a.timer)
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
func (s *Stage) Holds(r *core.Request) bool { return s.attempts[r.ID] != nil }

// endLater ends an attempt in the next batch, so that no decision is taken inside another's actions.
func (s *Stage) endLater(a *attempt, r core.Result) {
	s.Loop.Post(func() { s.end(a, r) })
}

func (s *Stage) end(a *attempt, res core.Result) {
	s.Loop.Stop(a.timer)
	if s.attempts[a.r.ID] == a {
		delete(s.attempts, a.r.ID)
	}
	member := ""
	if a.p != nil {
		member = a.p.id
	}
	neverRan := res.Outcome == nc.Full || res.Outcome == nc.NoLink || res.Outcome == nc.NotSent || res.Outcome == nc.Turned
	a.r.Out = false
	res.Took, res.Lay = s.Loop.Now()-a.at, a.lay
	a.r.MayHaveRun = a.r.MayHaveRun || !neverRan
	s.Attempted(member, res)
	if a.r.Final {
		s.Settled(a.r)
	}
	answered := res.Outcome == nc.Served || res.Outcome == nc.Rejected
	if answered {
		s.Answered(a.r, res)
	} else if a.r.LastError = nil; res.Outcome == nc.Errored {
		a.r.LastError = res.Value
	}
	s.Tell(nc.Answer{ID: a.r.ID, Attempt: a.n, Member: member, Outcome: res.Outcome, Over: answered || a.r.Final,
		Took: s.Loop.Now() - a.at, Role: res.Role, Position: res.Position, Report: res.Report})
}

// Probe asks a member on a link kept for probes.
func (s *Stage) Probe(member string) {
	p := s.pools[member]
	if p == nil {
		return
	}
	if l := p.probe; l != nil && (l.probing || s.stale(l)) {
		was := l.probing
		l.close()
		if was {
			s.probed(l, core.Result{Outcome: nc.TimedOut})
		}
	}
	l := p.probe
	if l == nil {
		var err error
		if l, err = s.open(p, true); err != nil {
			s.Loop.Post(func() { s.probed(&link{s: s, p: p, began: s.Loop.Now()}, core.Result{Outcome: nc.NoLink}) })
			return
		}
		p.probe = l
	}
	l.probing, l.began = true, s.Loop.Now()
	l.timer = s.Loop.At(l.began+probeTimeout, func() {
		l.close()
		s.probed(l, core.Result{Outcome: nc.TimedOut})
	})
	if l.up {
		l.write()
	}
}

func (s *Stage) probed(l *link, r core.Result) {
	l.probing = false
	s.Loop.Stop(l.timer)
	s.Probed(l.p.id, r)
	s.Tell(nc.Probed{Member: l.p.id, Outcome: r.Outcome, Took: s.Loop.Now() - l.began, Report: r.Report})
}

// Busy is the number of probes that are out and of attempts whose link is not up yet.
func (s *Stage) Busy() (n int) {
	for _, p := range s.pools {
		if p.probe != nil && p.probe.probing {
			n++
		}
	}
	for _, a := range s.attempts {
		if a.l == nil || !a.l.up {
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
		links := slices.Clone(p.idle)
		if p.probe != nil && p.probe.up && !p.probe.probing {
			links = append(links, p.probe)
		}
		for _, l := range links {
			if s.stale(l) || l != p.probe && !l.clean && s.Loop.Now() > l.idle+checkLimit {
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
	case a != nil:
		if l.c.Send(a.r.Statement, a.end-s.Loop.Now()) { // the attempt's own remaining wait
			a.r.Out = true
			return
		}
		l.a = nil
		l.close()
		s.endLater(a, core.Result{Outcome: nc.NoLink, Detail: "link closed before the statement left"})
	case l.probing:
		if !l.c.Probe() {
			l.close()
			s.Loop.Post(func() { s.probed(l, core.Result{Outcome: nc.NoLink}) })
		}
	}
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
func (l *link) Done(r core.Result) {
	if l.closed {
		return
	}
	if r.Close {
		l.close()
	}
	l.idle = l.s.Loop.Now()
	if a := l.a; a != nil {
		l.a = nil
		if !l.closed {
			if l.clean = false; l.p.wanted && l.c.Check() {
				l.p.idle = append(l.p.idle, l)
			} else {
				l.close()
			}
		}
		l.s.end(a, r)
	} else if l.probing {
		l.s.probed(l, r)
	}
}

// Clean is called when a check was answered.
func (l *link) Clean() { l.clean = true }

// Down is called when the link is no more.
func (l *link) Down(sent bool, err error) {
	if l.closed {
		return
	}
	l.close()
	r := core.Result{Outcome: nc.NoLink}
	if sent {
		r.Outcome = nc.LinkBroke
	}
	if err != nil {
		r.Detail = err.Error()
	}
	if a := l.a; a != nil {
		l.a = nil
		l.s.end(a, r)
	} else if l.probing {
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
