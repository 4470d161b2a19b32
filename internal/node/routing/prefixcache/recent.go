package prefixcache

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
)

const (
	// PrefillAssumedFor is how long a broker that was sent a part is assumed to have it. After that
	// the index is expected to know.
	PrefillAssumedFor = 2500 * time.Millisecond

	repeatedPrefillSpan = 10 * time.Second // a part that is read again within this time counts as read repeatedly
	maxBrokersPerPart   = 4                // brokers that are remembered for each part
)

// recentPrefills remembers, for each part under a salt, the brokers that this proxy or another one
// sent it to recently. Thus it is known which parts brokers are reading now before the index can
// tell. This keeps two brokers from reading the same part at the same time, and distinguishes parts
// that were read recently from new ones.
//
// Entries are kept in two generations. Once the newer one is as old as repeatedPrefillSpan, the
// older one is dropped.
type recentPrefills struct {
	newer, older map[uint64]*partPrefills
	newerSince   core.Time
}

// partPrefills holds the brokers that a part was sent to, the latest first.
type partPrefills struct {
	sentAt  core.Time // when the part was last sent to a broker
	brokers [maxBrokersPerPart]prefill
}

// prefill is a broker that a part was sent to, and when it is expected to have read it.
type prefill struct {
	broker  *brokerstate.Broker
	sentAt  core.Time
	readyAt core.Time
}

// partKey returns the key of a part under a salt.
func partKey(salt uint64, part prompt.Part) uint64 { return prompt.Mix64(salt ^ prompt.Mix64(part.ID)) }

// record records that shared parts of a prompt were sent to a broker, which is expected to have
// read them at readyAt.
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

// rotate starts a new generation if the newer one is old enough.
func (r *recentPrefills) rotate(now core.Time) {
	if r.newer != nil && now < r.newerSince+repeatedPrefillSpan {
		return
	}
	r.newer, r.older = make(map[uint64]*partPrefills), r.newer
	r.newerSince = now
}

// record moves the broker to the front. If it is still reading the part for an earlier request, the
// earlier readyAt counts.
func (p *partPrefills) record(now, readyAt core.Time, b *brokerstate.Broker) {
	p.sentAt = now
	last := maxBrokersPerPart - 1
	for i := range p.brokers {
		if p.brokers[i].broker != b {
			continue
		}
		if readyAt > p.brokers[i].readyAt && now < p.brokers[i].sentAt+PrefillAssumedFor {
			readyAt = p.brokers[i].readyAt // it reads the part for the earlier request
		}
		last = i
		break
	}
	copy(p.brokers[1:last+1], p.brokers[:last])
	p.brokers[0] = prefill{broker: b, sentAt: now, readyAt: readyAt}
}

// find returns what is remembered of a part, or nil if it wasn't sent to any broker recently.
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

// RecordPrefill records that this proxy or another one sent shared parts of a prompt to a broker,
// which is expected to have read them at readyAt.
func (c *Cache) RecordPrefill(now, readyAt core.Time, b *brokerstate.Broker, salt uint64, parts []prompt.Part) {
	c.recent.record(now, readyAt, b, salt, parts)
}
