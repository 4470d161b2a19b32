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
// notifySent is called with each Attempt.SentPrompt, notifyStep with each Decision.StepReport. They
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

// Begin calls Router.Begin under the mutex.
func (g *Guarded) Begin(now core.Time, request Request) (RequestID, Decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	id, decision := g.router.Begin(now, request)
	return id, g.notifyPeers(decision)
}

// Hedge calls Router.Hedge under the mutex.
func (g *Guarded) Hedge(now core.Time, request RequestID) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Hedge(now, request))
}

// Started calls Router.Started under the mutex.
func (g *Guarded) Started(now core.Time, request RequestID, attempt int, load *Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Started(now, request, attempt, load)
}

// Finished calls Router.Finished under the mutex.
func (g *Guarded) Finished(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Finished(now, request, attempt, outcome, resumable))
}

// End calls Router.End under the mutex.
func (g *Guarded) End(now core.Time, request RequestID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.End(now, request)
}

// SetTable calls Router.SetTable under the mutex.
func (g *Guarded) SetTable(now core.Time, table *registry.Table) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetTable(now, table)
}

// SetConfig calls Router.SetConfig under the mutex.
func (g *Guarded) SetConfig(now core.Time, compiled *config.Compiled) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetConfig(now, compiled)
}

// SetPeers calls Router.SetPeers under the mutex.
func (g *Guarded) SetPeers(now core.Time, proxies int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetPeers(now, proxies)
}

// PeerSentPrompt calls Router.PeerSentPrompt under the mutex.
func (g *Guarded) PeerSentPrompt(now core.Time, sent SentPrompt) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.PeerSentPrompt(now, sent)
}

// PeerStepReport calls Router.PeerStepReport under the mutex.
func (g *Guarded) PeerStepReport(seen StepReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.PeerStepReport(seen)
}

// CoreDisturbed calls Router.CoreDisturbed under the mutex.
func (g *Guarded) CoreDisturbed(now, at core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.CoreDisturbed(now, at)
}

// StoreSeen calls Router.StoreSeen under the mutex.
func (g *Guarded) StoreSeen(now core.Time, address string, alive, lost bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.StoreSeen(now, address, alive, lost)
}

// ObserveLoad calls Router.ObserveLoad under the mutex.
func (g *Guarded) ObserveLoad(now core.Time, instance string, load Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.ObserveLoad(now, instance, load)
}

// Resumed calls Router.Resumed under the mutex.
func (g *Guarded) Resumed(now core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Resumed(now)
}

// Late calls Router.Late under the mutex.
func (g *Guarded) Late() []LateRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Late()
}

// Counters calls Router.Counters under the mutex.
func (g *Guarded) Counters() Counters {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Counters()
}
