package agent

import (
	"sync"
	"time"

	"aspenshed/internal/controlplane/catalog"
	"aspenshed/internal/controlplane/publication"
	"aspenshed/internal/controlplane/roster"
)

const (
	publishTimeout       = 10 * time.Second
	minPublishRetryDelay = tickInterval
	maxPublishRetryDelay = 2 * time.Second
)

// publisher publishes the lists that this instance loads, each until it is stored or refused, or replaced by a newer one.
type publisher struct {
	loaded chan struct{} // holds an element after a list was loaded

	mu    sync.Mutex
	queue publication.Queue
}

func newPublisher() *publisher { return &publisher{loaded: make(chan struct{}, 1)} }

// load sets the list to be published next.
func (p *publisher) load(x *publication.Publication) {
	p.mu.Lock()
	p.queue.Load(x)
	p.mu.Unlock()
	select {
	case p.loaded <- struct{}{}:
	default:
	}
}

// take returns the list to be published now; nil: none.
func (p *publisher) take() *publication.Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Take()
}

// end records that the publication of the list that was taken has ended.
func (p *publisher) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.End()
}

// hasNext reports whether a newer list was loaded.
func (p *publisher) hasNext() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.HasNext()
}

// PublishInventory publishes a list that this instance has loaded: the initial one, which was passed to Start, or one that
// replaces it and takes precedence here until it is stored or refused. It does not wait.
func (a *Agent) PublishInventory(local []roster.Entry, list publication.List) {
	var held catalog.ListDigest
	a.cfg.Store.Read(func(c *catalog.Catalog) { held = c.WireDigest(list.Wire) })
	x := publication.New(list, a.cfg.Store.ID(), held)
	a.mu.Lock()
	if !list.Initial {
		a.merger.SetLocal(local)
		a.merger.SetLocalPending()
		a.localChanged = true
	}
	a.newestList = x
	a.mu.Unlock()
	a.publisher.load(x)
	a.Wake()
}

// publishLists publishes lists until the agent stops.
func (a *Agent) publishLists() {
	delay, failed := minPublishRetryDelay, false
	for {
		current := a.publisher.take()
		if current != nil {
			result := a.publish(current)
			switch {
			case result.ended:
				a.publisher.end()
				a.publicationEnded(current, result)
				current, delay, failed = nil, minPublishRetryDelay, false
			case result.err != nil && !failed && !a.stopping(): // logged once: the instance serves by its list meanwhile
				a.cfg.Log.WithError(result.err).Warn("inventory not stored yet")
				failed = true
			}
		}
		var retry <-chan time.Time
		if current != nil {
			retry = time.After(delay)
			delay = min(2*delay, maxPublishRetryDelay)
		}
		select {
		case <-a.stop:
			return
		case <-a.publisher.loaded:
		case <-retry:
		}
	}
}

// stopping reports whether the agent stops, and the store soon after it.
func (a *Agent) stopping() bool {
	select {
	case <-a.stop:
		return true
	default:
		return false
	}
}

// publishResult is the result of an attempt to publish a list.
type publishResult struct {
	ended     bool   // otherwise it has to be tried again
	err       error  // ended: why the list was refused; otherwise why the attempt failed, nil: a newer list was loaded
	version   uint64 // of the inventory, once the list is stored
	submitted bool   // a command was submitted
}

// publish tries to publish a list.
func (a *Agent) publish(x *publication.Publication) (result publishResult) {
	for {
		step, refusal, err := a.nextStep(x)
		switch {
		case err != nil:
			result.err = err
			return result
		case refusal != nil || len(step.Commands) == 0:
			result.ended, result.err, result.version = true, refusal, step.Version
			return result
		}
		result.submitted = true
		replaced, err := a.submitStep(x, step)
		if result.err = err; replaced || err != nil {
			return result
		}
	}
}

// nextStep returns the next step on the newest agreed state, or why the list is not published at all.
func (a *Agent) nextStep(x *publication.Publication) (step publication.Step, refusal, err error) {
	err = a.cfg.Store.ReadLatest(publishTimeout, func(c *catalog.Catalog) {
		step, refusal = x.Next(c, int64(a.cfg.Loop.Now()))
	})
	return step, refusal, err
}

// submitStep submits the commands of a step until one is refused or a newer list was loaded.
func (a *Agent) submitStep(x *publication.Publication, step publication.Step) (replaced bool, err error) {
	for _, command := range step.Commands {
		if a.publisher.hasNext() {
			return true, nil
		}
		result, err := a.cfg.Store.Submit(command, publishTimeout)
		if err != nil {
			return false, err
		}
		if result.Refused != "" {
			x.Refused(step, result.Refused)
			return false, nil
		}
	}
	return false, nil
}

// publicationEnded ends the precedence of a list that is stored now, or was refused.
func (a *Agent) publicationEnded(x *publication.Publication, result publishResult) {
	switch {
	case result.err != nil:
		a.cfg.Log.WithError(result.err).Warn("inventory not stored")
	case !x.Initial() || result.submitted:
		a.cfg.Log.WithField("version", result.version).Info("inventory stored")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if x.Initial() || x != a.newestList { // it has no precedence, or a newer list has taken its place
		return
	}
	if result.err != nil {
		a.merger.LocalNotStored()
	} else {
		a.merger.LocalStored(result.version)
	}
	a.localChanged = true
	a.Wake()
}
