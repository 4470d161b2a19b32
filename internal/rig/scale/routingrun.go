package scale

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// RoutingResult is what one proxy of a fleet knows of the brokers' loads, and what its part of the retry budget buys. The fleet's
// requests grow with its proxies, so a proxy has the same rate at each size.
type RoutingResult struct {
	Proxies  int     `json:"proxies"`
	Brokers  int     `json:"brokers"`
	Requests int     `json:"requests"`
	Fresh    float64 `json:"fresh"` // share of the service's brokers whose load was told within the last second, at a choice
	Chosen   float64 `json:"chosen"`
	Retries  int     `json:"retriesWanted"`
	Retried  float64 `json:"retried"` // share of them that the budget allowed
	Copies   int     `json:"copiesWanted"`
	Copied   float64 `json:"copied"`
}

const (
	routingSpan    = 200 * time.Second
	routingWarmUp  = 20 * time.Second
	freshFor       = time.Second
	failingShare   = 0.05 // of first attempts: turned away unrun
	slowShare      = 0.02 // take slowTime
	usualTime      = 300 * time.Millisecond
	slowTime       = 3 * time.Second
	routingTimeout = 8 * time.Second
)

// routingDrive drives one proxy's router with requests.
type routingDrive struct {
	clock  *timeline
	random *rand.Rand
	router *routing.Router
	table  *registry.Table
	shape  Shape
	heard  map[string]time.Duration // broker: when its load was last told
	each   time.Duration
	result RoutingResult
	fresh  float64
	chosen int
	again  int // retries made
	copied int
}

// RoutingAt drives the router of one proxy of so many, for some minutes of virtual time.
func RoutingAt(proxies int, target Target) RoutingResult {
	shape := ShapeOf(proxies, target)
	router := routing.New(0, routing.Options{
		Zone: "zone-1", RetryBudgetRatio: retryRatio, RetryBudgetSlack: retrySlack, BudgetWindow: retryWindow, Random: newRandom(),
	})
	d := &routingDrive{
		clock: &timeline{}, random: newRandom(), router: router, shape: shape, heard: map[string]time.Duration{},
		table: registryOfShape(shape).Table(), each: time.Duration(float64(time.Second) * float64(target.Proxies) / target.RequestsPerS),
		result: RoutingResult{Proxies: proxies, Brokers: shape.Brokers},
	}
	router.SetPeers(0, proxies)
	router.SetTable(0, d.table)
	d.clock.after(d.each, d.request)
	d.clock.runFor(routingSpan)
	d.result.Fresh = d.fresh / float64(max(d.result.Requests, 1))
	d.result.Chosen = float64(d.chosen) / float64(max(d.result.Requests, 1))
	d.result.Retried = float64(d.again) / float64(max(d.result.Retries, 1))
	d.result.Copied = float64(d.copied) / float64(max(d.result.Copies, 1))
	return d.result
}

var routingRoute = &config.Route{
	Name: "read", Kind: config.KindSafe, TimeoutMs: float64(routingTimeout.Milliseconds()), TargetLatencyMs: 500, MaxAttempts: 3,
}

// request sends one, and plans the next.
func (d *routingDrive) request() {
	now := d.clock.now
	d.clock.after(time.Duration(d.random.ExpFloat64()*float64(d.each)), d.request)
	service := serviceName(d.random.IntN(d.shape.Services))
	counted := now > routingWarmUp
	if counted {
		d.result.Requests++
		d.fresh += d.freshShare(service)
	}
	id, decision := d.router.Begin(now, routing.Request{
		Route: routingRoute, Service: service, Received: now, Deadline: now + routingTimeout, Urgency: 1,
	})
	if decision.Attempt == nil {
		d.router.End(now, id)
		return
	}
	if counted && d.isFresh(decision.Attempt.Instance) {
		d.chosen++
	}
	d.attempt(id, decision.Attempt, counted, d.random.Float64())
}

func (d *routingDrive) isFresh(instance *registry.Instance) bool {
	at, known := d.heard[instance.ID]
	return known && d.clock.now-at <= freshFor
}

// freshShare is the share of a service's brokers that the proxy has heard of within the last second.
func (d *routingDrive) freshShare(service string) float64 {
	brokers := d.table.ByService[service]
	count := 0
	for _, instance := range brokers {
		if d.isFresh(instance) {
			count++
		}
	}
	return float64(count) / float64(max(len(brokers), 1))
}

// attempt plays an attempt out; fate below failingShare: it is turned away, and below that and slowShare: it is slow.
func (d *routingDrive) attempt(id routing.RequestID, a *routing.Attempt, counted bool, fate float64) {
	took := time.Duration(float64(usualTime) * math.Exp(0.3*d.random.NormFloat64()))
	switch {
	case fate < failingShare:
		d.clock.after(5*time.Millisecond, func() { d.turnedAway(id, a, counted) })
		return
	case fate < failingShare+slowShare:
		took = slowTime
		d.planCopy(id, a, counted)
	}
	d.clock.after(took, func() { d.answered(id, a) })
}

func (d *routingDrive) turnedAway(id routing.RequestID, a *routing.Attempt, counted bool) {
	now := d.clock.now
	decision := d.router.Finished(now, id, a.Number, routing.Outcome{
		Verdict: verdict.NotRun, Status: 503, NotExecuted: true, RetryAfter: time.Second,
	}, false)
	if counted {
		d.result.Retries++
	}
	if decision.Attempt == nil {
		d.router.End(now, id)
		return
	}
	if counted {
		d.again++
	}
	d.attempt(id, decision.Attempt, false, 1)
}

func (d *routingDrive) planCopy(id routing.RequestID, a *routing.Attempt, counted bool) {
	if a.CopyAt == core.Never || a.CopyAt > d.clock.now+slowTime {
		return
	}
	d.clock.at(a.CopyAt, func() {
		if counted {
			d.result.Copies++
		}
		decision := d.router.Copy(d.clock.now, id)
		if decision.Attempt == nil {
			return
		}
		if counted {
			d.copied++
		}
		d.clock.after(usualTime, func() { d.answered(id, decision.Attempt) })
	})
}

// answered ends a request by an attempt's answer.
func (d *routingDrive) answered(id routing.RequestID, a *routing.Attempt) {
	now := d.clock.now
	load := &routing.Load{Running: 1, Slots: slotsOfBroker}
	d.heard[a.Instance.ID] = now
	d.router.Started(now, id, a.Number, load)
	d.router.Finished(now, id, a.Number, routing.Outcome{Verdict: verdict.Ran, Answered: true, Status: 200, Load: load}, false)
	d.router.End(now, id)
}

// Print writes a line.
func (r RoutingResult) Print(w io.Writer) {
	fmt.Fprintf(w, "%4d proxies, %3d brokers: %.0f%% of a service's brokers told their load within the last second, %.0f%% of those chosen; %.0f%% of %d retries and %.0f%% of %d copies allowed\n",
		r.Proxies, r.Brokers, 100*r.Fresh, 100*r.Chosen, 100*r.Retried, r.Retries, 100*r.Copied, r.Copies)
}
