package routing

import (
	"sync"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

// Guarded is a Router behind a mutex, which serializes the calls, so that goroutines of many
// connections can share it. The mutex is held briefly, as no call of Router blocks.
type Guarded struct {
	mutex  sync.Mutex
	router *Router
	// notifySent and notifyStep notify the other proxies. They must not block. nil: no notification.
	notifySent func(*SentPrompt)
	notifyStep func(*StepReport)
}

var _ Port = (*Guarded)(nil)

// NewGuarded returns a router behind a mutex. The wrapped router must not be used directly any more.
// notifySent is called with each Attempt.SentPrompt, notifyStep with each report of a step time. They
// must not block. nil: no notification.
func NewGuarded(router *Router, notifySent func(*SentPrompt), notifyStep func(*StepReport)) *Guarded {
	return &Guarded{router: router, notifySent: notifySent, notifyStep: notifyStep}
}

// notifyPeers notifies the other proxies of a decision, and returns that decision.
func (g *Guarded) notifyPeers(decision Decision) Decision {
	if g.notifySent != nil && decision.Attempt != nil && decision.Attempt.SentPrompt != nil {
		g.notifySent(decision.Attempt.SentPrompt)
	}
	if g.notifyStep != nil && decision.StepReport != nil {
		g.notifyStep(decision.StepReport)
	}
	return decision
}

// Begin adds a request and returns an attempt or a refusal for it, as Router does.
func (g *Guarded) Begin(now core.Time, request Request) (RequestID, Decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	id, decision := g.router.Begin(now, request)
	return id, g.notifyPeers(decision)
}

// Hedge may return a hedged attempt, as Router does.
func (g *Guarded) Hedge(now core.Time, request RequestID) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Hedge(now, request))
}

// Started records the start of an answer, as Router does.
func (g *Guarded) Started(now core.Time, request RequestID, attempt int, load *Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Started(now, request, attempt, load)
}

// Finished records the end of an attempt and decides on a further one, as Router does.
func (g *Guarded) Finished(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Finished(now, request, attempt, outcome, resumable))
}

// End removes a request, as Router does.
func (g *Guarded) End(now core.Time, request RequestID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.End(now, request)
}

// SetTable replaces the list of brokers, as Router does.
func (g *Guarded) SetTable(now core.Time, table *registry.Table) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetTable(now, table)
}

// SetConfig replaces the configuration, as Router does.
func (g *Guarded) SetConfig(now core.Time, compiled *config.Compiled) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetConfig(now, compiled)
}

// SetPeers sets the number of proxies that share the retry budget, as Router does.
func (g *Guarded) SetPeers(now core.Time, proxies int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetPeers(now, proxies)
}

// PeerSentPrompt records a prompt that another proxy sent, as Router does.
func (g *Guarded) PeerSentPrompt(now core.Time, sent SentPrompt) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.PeerSentPrompt(now, sent)
}

// PeerStepReport records a step time that another proxy measured, as Router does.
func (g *Guarded) PeerStepReport(seen StepReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.PeerStepReport(seen)
}

// CoreDisturbed records that the core was unstable at a time, as Router does.
func (g *Guarded) CoreDisturbed(now, at core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.CoreDisturbed(now, at)
}

// StoreSeen records the result of a health check of a store, as Router does.
func (g *Guarded) StoreSeen(now core.Time, address string, alive, lost bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.StoreSeen(now, address, alive, lost)
}

// ObserveLoad records a broker's load report, as Router does.
func (g *Guarded) ObserveLoad(now core.Time, instance string, load Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.ObserveLoad(now, instance, load)
}

// RecordProcessPause records that this process was paused until now, as Router does.
func (g *Guarded) RecordProcessPause(now core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordProcessPause(now)
}

// Late returns the newest late answers, as Router does.
func (g *Guarded) Late() []LateRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Late()
}

// Counters returns a copy of the counters, as Router does.
func (g *Guarded) Counters() Counters {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Counters()
}
