package prefixcache

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
)

const (
	// PrefillBelieved is how long a broker that was sent a part is believed to have it; then the
	// index is to know.
	PrefillBelieved = 2500 * time.Millisecond

	repeatedPrefillSpan = 10 * time.Second // a part that is read anew within that time is read repeatedly
	maxBrokersPerPart   = 4                // brokers that are remembered for a part
)

// recentPrefills remembers for each part under a salt the brokers that it was sent to recently, by
// this proxy and by others: which parts brokers are reading just now is known before the index can
// tell. So the same part isn't read twice at once, and what was read recently is distinguished from
// what is new.
//
// Of two generations the older is dropped when the newer is as old as prefillRepeated.
type recentPrefills struct {
	newer, older map[uint64]*partPrefills
	newerSince   core.Time
}

// partPrefills are the brokers that a part was sent to, the latest first.
type partPrefills struct {
	sentAt  core.Time // to the latest
	brokers [maxBrokersPerPart]prefill
}

// prefill is a broker that a part was sent to, and when it is to have read it.
type prefill struct {
	broker  *brokerstate.Broker
	sentAt  core.Time
	readyAt core.Time
}

func partKey(salt uint64, part prompt.Part) uint64 { return prompt.Mix64(salt ^ prompt.Mix64(part.ID)) }

// record takes in that shared parts of a prompt were sent to a broker, which is to have read them
// at readyAt.
func (r *recentPrefills) record(now, readyAt core.Time, b *brokerstate.Broker, salt uint64, parts []prompt.Part) {
	r.rotate(now)
	for _, part := range parts {
		key := partKey(salt, part)
		prefills := r.newer[key]
		if prefills == nil {
			prefills = &partPrefills{}
			if old := r.older[key]; old != nil {
				*prefills = *old
			}
			r.newer[key] = prefills
		}
		prefills.record(now, readyAt, b)
	}
}

func (r *recentPrefills) rotate(now core.Time) {
	if r.newer != nil && now < r.newerSince+repeatedPrefillSpan {
		return
	}
	r.newer, r.older = make(map[uint64]*partPrefills), r.newer
	r.newerSince = now
}

func (p *partPrefills) record(now, readyAt core.Time, b *brokerstate.Broker) {
	p.sentAt = now
	last := maxBrokersPerPart - 1
	for i := range p.brokers {
		if p.brokers[i].broker != b {
			continue
		}
		if readyAt > p.brokers[i].readyAt && now < p.brokers[i].sentAt+PrefillBelieved {
			readyAt = p.brokers[i].readyAt // it reads them for the earlier request
		}
		last = i
		break
	}
	copy(p.brokers[1:last+1], p.brokers[:last])
	p.brokers[0] = prefill{broker: b, sentAt: now, readyAt: readyAt}
}

// find is what is remembered of a part, nil where it wasn't sent recently.
func (r *recentPrefills) find(now core.Time, salt uint64, part prompt.Part) *partPrefills {
	key := partKey(salt, part)
	prefills := r.newer[key]
	if prefills == nil {
		prefills = r.older[key]
	}
	if prefills == nil || now >= prefills.sentAt+repeatedPrefillSpan {
		return nil
	}
	return prefills
}

// RecordPrefill takes in that shared parts of a prompt were sent to a broker, by this proxy or
// another, and when it is to have read them.
func (c *Cache) RecordPrefill(now, readyAt core.Time, b *brokerstate.Broker, salt uint64, parts []prompt.Part) {
	c.recent.record(now, readyAt, b, salt, parts)
}
