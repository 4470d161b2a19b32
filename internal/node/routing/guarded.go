package routing

import (
	"sync"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
)

// LockedRouter is a Router behind a mutex, which serializes the calls, so that goroutines of many
// connections can share it. The mutex is held briefly, as no call of Router blocks.
type LockedRouter struct {
	mutex  sync.Mutex
	router *Router
	// notifySent and notifyStep notify the other proxies. They must not block. nil: no notification.
	notifySent func(*SentPrompt)
	notifyStep func(*StepTimeReport)
}

var _ RequestRouter = (*LockedRouter)(nil)

// NewLockedRouter returns a router behind a mutex. The wrapped router must not be used directly any more.
// notifySent is called with each Attempt.SentPrompt, notifyStep with each report of a step time. They
// must not block. nil: no notification.
func NewLockedRouter(router *Router, notifySent func(*SentPrompt), notifyStep func(*StepTimeReport)) *LockedRouter {
	return &LockedRouter{router: router, notifySent: notifySent, notifyStep: notifyStep}
}

// notifyPeers notifies the other proxies of a decision, and returns that decision.
func (g *LockedRouter) notifyPeers(decision Decision) Decision {
	if g.notifySent != nil && decision.Attempt != nil && decision.Attempt.SentPrompt != nil {
		g.notifySent(decision.Attempt.SentPrompt)
	}
	if g.notifyStep != nil && decision.StepTimeReport != nil {
		g.notifyStep(decision.StepTimeReport)
	}
	return decision
}

// Begin adds a request and returns an attempt or a refusal for it, as Router does.
func (g *LockedRouter) Begin(now core.Time, request Request) (RequestID, Decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	id, decision := g.router.Begin(now, request)
	return id, g.notifyPeers(decision)
}

// Hedge may return a hedged attempt, as Router does.
func (g *LockedRouter) Hedge(now core.Time, request RequestID) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.Hedge(now, request))
}

// AnswerStarted records the start of an answer, as Router does.
func (g *LockedRouter) AnswerStarted(now core.Time, request RequestID, attempt int, load *Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.AnswerStarted(now, request, attempt, load)
}

// AttemptEnded records the end of an attempt and decides on a further one, as Router does.
func (g *LockedRouter) AttemptEnded(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notifyPeers(g.router.AttemptEnded(now, request, attempt, outcome, resumable))
}

// End removes a request, as Router does.
func (g *LockedRouter) End(now core.Time, request RequestID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.End(now, request)
}

// SetTable replaces the list of brokers, as Router does.
func (g *LockedRouter) SetTable(now core.Time, table *registry.Table) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetTable(now, table)
}

// SetConfig replaces the configuration, as Router does.
func (g *LockedRouter) SetConfig(now core.Time, compiled *config.Compiled) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetConfig(now, compiled)
}

// SetProxyCount sets the number of proxies that share the retry budget, as Router does.
func (g *LockedRouter) SetProxyCount(now core.Time, proxies int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.SetProxyCount(now, proxies)
}

// RecordPeerPrompt records a prompt that another proxy sent, as Router does.
func (g *LockedRouter) RecordPeerPrompt(now core.Time, sent SentPrompt) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordPeerPrompt(now, sent)
}

// RecordPeerStepTime records a step time that another proxy measured, as Router does.
func (g *LockedRouter) RecordPeerStepTime(seen StepTimeReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordPeerStepTime(seen)
}

// RecordCoreInstability records that the core was unstable at a time, as Router does.
func (g *LockedRouter) RecordCoreInstability(now, at core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordCoreInstability(now, at)
}

// RecordStoreHealth records the result of a health check of a store, as Router does.
func (g *LockedRouter) RecordStoreHealth(now core.Time, address string, alive, lost bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordStoreHealth(now, address, alive, lost)
}

// ObserveLoad records a broker's load report, as Router does.
func (g *LockedRouter) ObserveLoad(now core.Time, instance string, load Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.ObserveLoad(now, instance, load)
}

// RecordProcessPause records that this process was paused until now, as Router does.
func (g *LockedRouter) RecordProcessPause(now core.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordProcessPause(now)
}

// LateAnswers returns the newest late answers, as Router does.
func (g *LockedRouter) LateAnswers() []LateRequest {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.LateAnswers()
}

// Counters returns a copy of the counters, as Router does.
func (g *LockedRouter) Counters() Counters {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Counters()
}
