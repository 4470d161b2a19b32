package routing

import (
	"sync"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

// Guarded serialises the calls to a Router, so that requests on many connections can share it. Each
// call is short.
type Guarded struct {
	mutex  sync.Mutex
	router *Router
	// Both notify the other proxies and must not block; nil: nobody is notified.
	notifySent func(*SentPrompt)
	notifyStep func(*StepReport)
}

var _ Port = (*Guarded)(nil)

// NewGuarded wraps a router, which must not be used directly any more. notifySent is called with
// each Attempt.SentPrompt, notifyStep with each Decision.StepReport; they must not block. nil:
// nobody is notified.
func NewGuarded(router *Router, notifySent func(*SentPrompt), notifyStep func(*StepReport)) *Guarded {
	return &Guarded{router: router, notifySent: notifySent, notifyStep: notifyStep}
}

// notifyPeers passes a decision on, and notifies the other proxies of it.
func (g *Guarded) notifyPeers(decision Decision) Decision {
	if g.notifySent != nil && decision.Attempt != nil && decision.Attempt.SentPrompt != nil {
		g.notifySent(decision.Attempt.SentPrompt)
	}
	if g.notifyStep != nil && decision.StepReport != nil {
		g.notifyStep(decision.StepReport)
	}
	return decision
}

// Begin is Router.Begin.
func (g *Guarded) Begin(now core.Time, request Request) (RequestID, Decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	id, decision := g.router.Begin(now, request)
	return id, g.notifyPeers(decision)
}

// Hedge is Router.Hedge.
func (g *Guarded) Hedge(now core.Time, request RequestID) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Hedge(now, request))
}

// Started is Router.Started.
func (g *Guarded) Started(now core.Time, request RequestID, attempt int, load *Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Started(now, request, attempt, load)
}

// Finished is Router.Finished.
func (g *Guarded) Finished(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Finished(now, request, attempt, outcome, resumable))
}

// End is Router.End.
func (g *Guarded) End(now core.Time, request RequestID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.End(now, request)
}

// SetTable is Router.SetTable.
func (g *Guarded) SetTable(now core.Time, table *registry.Table) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetTable(now, table)
}

// SetConfig is Router.SetConfig.
func (g *Guarded) SetConfig(now core.Time, compiled *config.Compiled) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetConfig(now, compiled)
}

// SetPeers is Router.SetPeers.
func (g *Guarded) SetPeers(now core.Time, proxies int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetPeers(now, proxies)
}

// PeerSentPrompt is Router.PeerSentPrompt.
func (g *Guarded) PeerSentPrompt(now core.Time, sent SentPrompt) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.PeerSentPrompt(now, sent)
}

// PeerStepReport is Router.PeerStepReport.
func (g *Guarded) PeerStepReport(seen StepReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.PeerStepReport(seen)
}

// CoreDisturbed is Router.CoreDisturbed.
func (g *Guarded) CoreDisturbed(now, at core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.CoreDisturbed(now, at)
}

// StoreSeen is Router.StoreSeen.
func (g *Guarded) StoreSeen(now core.Time, address string, alive, lost bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.StoreSeen(now, address, alive, lost)
}

// ObserveLoad is Router.ObserveLoad.
func (g *Guarded) ObserveLoad(now core.Time, instance string, load Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.ObserveLoad(now, instance, load)
}

// Resumed is Router.Resumed.
func (g *Guarded) Resumed(now core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Resumed(now)
}

// Late is Router.Late.
func (g *Guarded) Late() []LateRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Late()
}

// Counters is Router.Counters.
func (g *Guarded) Counters() Counters {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Counters()
}
