package forward

import "sync/atomic"

// counters count the results of requests.
type counters struct {
	requests, answered, rejected, failed, denied atomic.Uint64
	aborted, clientDisconnected                  atomic.Uint64
	attempts, retries, hedges, hedgesWon         atomic.Uint64
	resumed                                      atomic.Uint64
	notRun, mayHaveRun, ran                      atomic.Uint64
	invalidAnswers, badFraming                   atomic.Uint64
	byPrediction                                 atomic.Uint64
}

// Metrics is a snapshot of a proxy's counters since its start.
type Metrics struct {
	Requests           uint64 // received from clients
	Answered           uint64 // with a broker's answer
	Rejected           uint64 // 503: not run, to be retried
	Failed             uint64 // 502 or 504
	Denied             uint64 // 4xx of our own
	Aborted            uint64 // while the answer was being sent
	ClientDisconnected uint64

	Attempts     uint64
	Retries      uint64 // attempts after the first, without hedges
	Hedges       uint64
	HedgesWon    uint64
	ByPrediction uint64 // attempts whose broker the prediction chose
	Resumed      uint64 // streams resumed at another broker

	// Attempts by their final verdict.
	NotRun     uint64
	MayHaveRun uint64
	Ran        uint64

	InvalidAnswers uint64 // answers that weren't the broker's to the request
	BadFraming     uint64 // clients' requests denied for their framing
	Surplus        uint64 // bytes and answers of brokers that belong to no request

	ConnectionsOpened uint64
	ConnectionsFailed uint64
	ConnectionsReused uint64
	ConnectionsStale  uint64 // idle ones found closed
	ConnectionsOpen   int
	ConnectionsIdle   int
	// ConnectionsAbandoned are being opened for requests that no longer wait for them.
	ConnectionsAbandoned int
}

// Metrics returns the current counters.
func (p *Proxy) Metrics() Metrics {
	c := &p.counters
	connections := &p.pool.Counters
	now := p.pool.Connections()
	return Metrics{
		Requests:           c.requests.Load(),
		Answered:           c.answered.Load(),
		Rejected:           c.rejected.Load(),
		Failed:             c.failed.Load(),
		Denied:             c.denied.Load(),
		Aborted:            c.aborted.Load(),
		ClientDisconnected: c.clientDisconnected.Load(),
		Attempts:           c.attempts.Load(),
		Retries:            c.retries.Load(),
		Hedges:             c.hedges.Load(),
		HedgesWon:          c.hedgesWon.Load(),
		ByPrediction:       c.byPrediction.Load(),
		Resumed:            c.resumed.Load(),
		NotRun:             c.notRun.Load(),
		MayHaveRun:         c.mayHaveRun.Load(),
		Ran:                c.ran.Load(),
		InvalidAnswers:     c.invalidAnswers.Load(),
		BadFraming:         c.badFraming.Load(),
		Surplus:            connections.Surplus.Load(),
		ConnectionsOpened:  connections.Opened.Load(),
		ConnectionsFailed:  connections.Failed.Load(),
		ConnectionsReused:  connections.Reused.Load(),
		ConnectionsStale:   connections.Stale.Load(),
		ConnectionsOpen:    now.Open,
		ConnectionsIdle:    now.Idle,

		ConnectionsAbandoned: now.Abandoned,
	}
}
