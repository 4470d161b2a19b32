package agent

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/loadhint"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/routing/prompt"
)

// buildLoadHints builds the spreader of load hints to other proxies.
func (a *Agent) buildLoadHints() {
	a.hints = loadhint.New(loadhint.Options{SelfID: a.self.NodeId, Zone: a.self.Zone, Random: newRandom()})
}

// announceSent announces to the other proxies a request that this one has forwarded. The data plane
// calls it and must never wait for the control loop: while that is far behind, hints are dropped.
func (a *Agent) announceSent(sent *routing.SentPrompt) {
	a.announceHint(hintOf(sent))
}

// announceStep announces to the other proxies the decode step time that a stream showed of its broker.
func (a *Agent) announceStep(seen *routing.StepTimeReport) {
	a.announceHint(&nodepb.LoadHint{Instance: seen.Instance, EventIntervalUs: uint32(seen.EventInterval.Microseconds())})
}

// announceHint hands a hint to the control loop, or drops it while the inbox is full.
func (a *Agent) announceHint(hint *nodepb.LoadHint) {
	select {
	case a.inbox <- func(now core.Time) { a.hints.RecordSent(now, hint) }:
	default:
	}
}

// applyHints applies the hints of other proxies to the router. A hint with a step time tells nothing
// else.
func (a *Agent) applyHints(now core.Time, hints []*nodepb.LoadHint) {
	for _, hint := range hints {
		if hint.EventIntervalUs > 0 {
			a.router.RecordPeerStepTime(routing.StepTimeReport{Instance: hint.Instance, EventInterval: time.Duration(hint.EventIntervalUs) * time.Microsecond})
			continue
		}
		a.router.RecordPeerPrompt(now, sentOf(hint))
	}
}

// hintOf encodes a forwarded request as a hint.
func hintOf(sent *routing.SentPrompt) *nodepb.LoadHint {
	hint := &nodepb.LoadHint{Instance: sent.Instance, Salt: sent.Salt, UnreadTokens: uint32(sent.PrefillTokens)}
	for _, part := range sent.Parts {
		hint.PartIds = append(hint.PartIds, part.ID)
		hint.PartTokens = append(hint.PartTokens, uint32(part.Tokens))
	}
	return hint
}

// sentOf decodes the forwarded request that a hint announces.
func sentOf(hint *nodepb.LoadHint) routing.SentPrompt {
	sent := routing.SentPrompt{Instance: hint.Instance, Salt: hint.Salt, PrefillTokens: int(hint.UnreadTokens)}
	for i := range min(len(hint.PartIds), len(hint.PartTokens)) {
		sent.Parts = append(sent.Parts, prompt.Part{ID: hint.PartIds[i], Tokens: int(hint.PartTokens[i])})
	}
	return sent
}
