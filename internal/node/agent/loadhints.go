package agent

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/loadhint"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/routing"
)

func (a *Agent) buildLoadHints() {
	a.hints = loadhint.New(loadhint.Options{SelfID: a.self.NodeId, Zone: a.self.Zone, Random: newRandom()})
}

// announceSent tells the other proxies what this one has sent. It is called by the data plane, which never waits for the control
// loop: while that is far behind, nothing is told.
func (a *Agent) announceSent(sent *routing.Sent) {
	a.announceHint(hintOf(sent))
}

// announceStep tells the other proxies what a stream showed of its broker's pace.
func (a *Agent) announceStep(seen *routing.StepSeen) {
	a.announceHint(&nodepb.LoadHint{Instance: seen.Instance, PauseUs: uint32(seen.Pause.Microseconds())})
}

func (a *Agent) announceHint(hint *nodepb.LoadHint) {
	select {
	case a.inbox <- func(now core.Time) { a.hints.Sent(now, hint) }:
	default:
	}
}

// applyHints hands the router what other proxies have sent.
func (a *Agent) applyHints(now core.Time, hints []*nodepb.LoadHint) {
	for _, hint := range hints {
		if hint.PauseUs > 0 {
			a.router.PeerStep(routing.StepSeen{Instance: hint.Instance, Pause: time.Duration(hint.PauseUs) * time.Microsecond})
			continue
		}
		a.router.PeerSent(now, sentOf(hint))
	}
}

func hintOf(sent *routing.Sent) *nodepb.LoadHint {
	hint := &nodepb.LoadHint{Instance: sent.Instance, Salt: sent.Salt, Unread: uint32(sent.Unread)}
	for _, part := range sent.Parts {
		hint.PartIds = append(hint.PartIds, part.ID)
		hint.PartTokens = append(hint.PartTokens, uint32(part.Tokens))
	}
	return hint
}

func sentOf(hint *nodepb.LoadHint) routing.Sent {
	sent := routing.Sent{Instance: hint.Instance, Salt: hint.Salt, Unread: int(hint.Unread)}
	for i := range min(len(hint.PartIds), len(hint.PartTokens)) {
		sent.Parts = append(sent.Parts, routing.PromptPart{ID: hint.PartIds[i], Tokens: int(hint.PartTokens[i])})
	}
	return sent
}
