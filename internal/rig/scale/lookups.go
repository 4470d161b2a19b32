package scale

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/routing"
)

// Requests look prompts up in the index of kept prompts: in the node's own copy, as the nodes do today, or, where
// Options.AskedIndex is set, by asking the home of the service in the node's zone, which then tells nobody else. The latter is a
// trial of a design that the nodes do not have; its questions and answers travel as IndexUpdate messages of the same content.

const (
	askEpoch    = 1 << 62      // marks a question
	answerEpoch = askEpoch + 1 // marks an answer
	// askedKept is how long a proxy keeps the answer about a part that prompts share.
	askedKept    = 2 * time.Second
	partsOwn     = 2 // parts of a prompt beside the shared one
	lookupTokens = leastPart
	holdersTold  = 4
)

// lookupKey is a shared part of a service's prompts.
type lookupKey struct {
	service string
	part    uint64
}

// lookupCounts are what became of lookups.
type lookupCounts struct{ made, asked, found uint64 }

// LookupResult is what lookups brought.
type LookupResult struct {
	ASecond float64 `json:"aSecond"` // of a proxy
	Asked   float64 `json:"asked"`   // share that was asked of the home
	Found   float64 `json:"found"`   // share whose first part had a holder that was known
}

// lookUp makes a lookup, and plans the next.
func (n *node) lookUp() {
	f := n.fleet
	if !n.running || !f.eventsOn {
		return
	}
	f.clock.after(time.Duration(f.random.ExpFloat64()*float64(f.lookupEach)), n.lookUp)
	service := f.random.IntN(f.shape.Services)
	key := lookupKey{serviceName(service), sharedPart(serviceName(service), f.random)}
	salt := routing.SaltID(modelName(service) + "/1")
	n.turn(&n.meter.calls.spent, func(now core.Time) {
		n.lookups.made++
		if !f.askedIndex {
			n.noteFound(n.index.Holders(salt, f.promptOf(key)))
			return
		}
		n.ask(now, key, salt)
	})
}

// promptOf is a prompt that begins with a shared part.
func (f *Fleet) promptOf(key lookupKey) []routing.PromptPart {
	parts := []routing.PromptPart{{ID: key.part, Tokens: lookupTokens}}
	for range partsOwn {
		parts = append(parts, routing.PromptPart{ID: f.random.Uint64() | 1, Tokens: lookupTokens})
	}
	return parts
}

func (n *node) noteFound(holders []routing.Holder) {
	if len(holders) > 0 {
		n.lookups.found++
	}
}

// ask asks the home of the service in this zone, unless it has answered lately.
func (n *node) ask(now core.Time, key lookupKey, salt uint64) {
	if at, known := n.asked[key]; known && now-at < askedKept {
		n.lookups.found++
		return
	}
	home := n.fleet.nodesByID[indexHome(n.control.Members(), key.service, n.self.Zone)]
	if home == nil {
		return
	}
	n.lookups.asked++
	question := &nodepb.IndexUpdate{Service: key.service, Zone: n.self.Zone, Epoch: askEpoch}
	for i, part := range n.fleet.promptOf(key) {
		change := &nodepb.IndexChange{Part: part.ID}
		if i == 0 {
			change.Salt = salt
		}
		question.Changes = append(question.Changes, change)
	}
	n.fleet.send(n, core.Send{Destination: home.self.Address, Message: indexMessage(question)})
}

func indexMessage(update *nodepb.IndexUpdate) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_IndexUpdate{IndexUpdate: update}}
}

// handleIndex takes an update of the index, a question or an answer.
func (n *node) handleIndex(now core.Time, from core.Peer, update *nodepb.IndexUpdate) []core.Output {
	switch update.Epoch {
	case askEpoch:
		return []core.Output{core.Send{Destination: from.Address, Message: indexMessage(n.answerOf(update))}}
	case answerEpoch:
		n.takeAnswer(now, update)
		return nil
	default:
		return n.subscriber.HandleUpdate(now, from, update)
	}
}

func (n *node) answerOf(question *nodepb.IndexUpdate) *nodepb.IndexUpdate {
	var parts []routing.PromptPart
	for _, change := range question.Changes {
		parts = append(parts, routing.PromptPart{ID: change.Part, Tokens: lookupTokens})
	}
	answer := &nodepb.IndexUpdate{Service: question.Service, Zone: question.Zone, Epoch: answerEpoch, Sequence: question.Changes[0].Part}
	holders := n.index.Holders(question.Changes[0].Salt, parts)
	for _, holder := range holders[:min(holdersTold, len(holders))] {
		answer.Changes = append(answer.Changes, &nodepb.IndexChange{Instance: holder.Instance, Tokens: uint32(holder.Tokens)})
	}
	return answer
}

func (n *node) takeAnswer(now core.Time, answer *nodepb.IndexUpdate) {
	if len(answer.Changes) == 0 {
		return
	}
	n.lookups.found++
	n.asked[lookupKey{answer.Service, answer.Sequence}] = now
}

// startLookups has all proxies look prompts up, at the target's rate of requests.
func (f *Fleet) startLookups(target Target) {
	f.lookupEach = time.Duration(float64(time.Second) * float64(target.Proxies) / target.RequestsPerS)
	for _, n := range f.running() {
		f.clock.after(f.randomSpan(f.lookupEach), n.lookUp)
	}
}

// lookupsSince sums what lookups brought.
func (f *Fleet) lookupsSince(earlier map[*node]lookupCounts, span time.Duration) LookupResult {
	var sum lookupCounts
	running := f.running()
	for _, n := range running {
		before := earlier[n]
		sum.made += n.lookups.made - before.made
		sum.asked += n.lookups.asked - before.asked
		sum.found += n.lookups.found - before.found
	}
	made := max(float64(sum.made), 1)
	return LookupResult{
		ASecond: float64(sum.made) / span.Seconds() / float64(len(running)), Asked: float64(sum.asked) / made, Found: float64(sum.found) / made,
	}
}

func (f *Fleet) lookupCounts() map[*node]lookupCounts {
	counts := map[*node]lookupCounts{}
	for _, n := range f.nodes {
		counts[n] = n.lookups
	}
	return counts
}
