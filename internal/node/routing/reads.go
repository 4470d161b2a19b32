package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/prompt"
)

// Which parts of prompts brokers are reading just now is known before the index can tell: by what this proxy and the others
// sent. The same part is not read twice at once that way, and what was read lately is told from what is new.
const (
	readsBelieved = 2500 * time.Millisecond // then the index is to have it
	readsAgain    = 10 * time.Second        // a part that is read anew within that time is read again
	readsPlaces   = 4                       // brokers that are remembered for a part
)

// Sent is what other proxies are told of an attempt at a model broker.
type Sent struct {
	Instance string // instance id
	Salt     uint64 // SaltID of Cache-Salt
	// Parts are the prompt's shared parts, in order. The broker keeps them once it has read the prompt.
	Parts []prompt.Part
	// Unread is how many tokens of the prompt the broker has to read.
	Unread int
}

// recentReads remembers for each part under a salt the brokers that it was sent to lately. Of two generations the older is
// dropped when the newer is as old as readsAgain.
type recentReads struct {
	newer, older map[uint64]*partReads
	begunAt      core.Time
}

// partReads are the brokers that a part was sent to, the latest first.
type partReads struct {
	at     core.Time
	places [readsPlaces]readPlace
}

// readPlace is a broker that a part was sent to, and when it is to have read it.
type readPlace struct {
	broker  *broker
	at      core.Time
	readyAt core.Time
}

func readKey(salt uint64, part prompt.Part) uint64 { return prompt.Mix(salt ^ prompt.Mix(part.ID)) }

// note takes that the shared parts of a prompt were sent to a broker, which is to have read them at readyAt.
func (r *recentReads) note(now, readyAt core.Time, b *broker, salt uint64, parts []prompt.Part) {
	r.turn(now)
	for _, part := range parts {
		key := readKey(salt, part)
		reads := r.newer[key]
		if reads == nil {
			reads = &partReads{}
			if old := r.older[key]; old != nil {
				*reads = *old
			}
			r.newer[key] = reads
		}
		reads.note(now, readyAt, b)
	}
}

func (r *recentReads) turn(now core.Time) {
	if r.newer != nil && now < r.begunAt+readsAgain {
		return
	}
	r.newer, r.older = make(map[uint64]*partReads), r.newer
	r.begunAt = now
}

func (p *partReads) note(now, readyAt core.Time, b *broker) {
	p.at = now
	last := readsPlaces - 1
	for i := range p.places {
		if p.places[i].broker != b {
			continue
		}
		if readyAt > p.places[i].readyAt && now < p.places[i].at+readsBelieved {
			readyAt = p.places[i].readyAt // it reads them for the one before
		}
		last = i
		break
	}
	copy(p.places[1:last+1], p.places[:last])
	p.places[0] = readPlace{broker: b, at: now, readyAt: readyAt}
}

// of is what is remembered of a part, nil where it wasn't sent lately.
func (r *recentReads) of(now core.Time, salt uint64, part prompt.Part) *partReads {
	key := readKey(salt, part)
	reads := r.newer[key]
	if reads == nil {
		reads = r.older[key]
	}
	if reads == nil || now >= reads.at+readsAgain {
		return nil
	}
	return reads
}
