package scale

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
)

// keptParts makes the events of a broker's kept parts: half of them tell of parts newly kept, half of parts dropped.
type keptParts struct {
	broker *standInBroker
	random *rand.Rand
	next   uint64  // number of the next event
	told   float64 // events told so far, with the fraction that is due
	from   time.Duration
	recent []uint64 // parts that may be dropped
	on     bool
}

const (
	// sharedShare of the parts newly kept are ones that many prompts begin with; each service has sharedParts of them.
	sharedShare = 0.3
	sharedParts = 400
	// keptForDrop bounds the parts that a broker remembers, to drop them later.
	keptForDrop = 2000
	// The sizes of parts, in tokens.
	leastPart = 128
	mostPart  = 2048
)

func newKeptParts(b *standInBroker, seed uint64) keptParts {
	return keptParts{broker: b, random: rand.New(rand.NewPCG(seed, 7)), next: 1}
}

// askEvents answers a call for events: at once where there are some, else when the wait is over.
func (f *Fleet) askEvents(n *node, ask core.FetchEvents) {
	b := f.byBroker[ask.Address]
	if b == nil || b.silenced {
		return
	}
	wait := 2 * delayOfBroker
	if !f.eventsOn || f.shape.EventsPerBroker <= 0 {
		wait += ask.Wait
	}
	f.clock.after(wait, func() {
		if !n.running || b.silenced {
			return
		}
		text := b.kept.answer(f)
		n.meter.events.received++
		n.meter.events.receivedBytes += uint64(len(text))
		n.turn(&n.meter.events.spent, func(now core.Time) {
			events := &kvindex.Events{}
			err := json.Unmarshal(text, events)
			n.home.EventsDone(now, ask.Token, events, err)
		})
	})
}

// answer is the JSON of the events since the last answer. Source: PROTOCOL.md, "KV cache".
func (k *keptParts) answer(f *Fleet) []byte {
	count := 0
	if f.eventsOn {
		if !k.on {
			k.from = f.clock.now - time.Second
		}
		k.told += (f.clock.now - k.from).Seconds() * f.shape.EventsPerBroker
		count = int(k.told)
		k.told -= float64(count)
	}
	k.on = f.eventsOn
	k.from = f.clock.now
	list := make([]byte, 0, 64+count*60)
	for i := range count {
		if i > 0 {
			list = append(list, ',')
		}
		list = k.appendEvent(list)
	}
	text := []byte(`{"epoch":1,"nextPageToken":` + strconv.FormatUint(k.next, 10) + `,"lost":false,"events":[`)
	text = append(text, list...)
	return append(text, `]}`...)
}

func (k *keptParts) appendEvent(text []byte) []byte {
	sign, part, tokens := byte('+'), uint64(0), 0
	if len(k.recent) > 0 && k.random.IntN(2) == 0 {
		sign = '-'
		at := k.random.IntN(len(k.recent))
		part = k.recent[at]
		k.recent[at] = k.recent[len(k.recent)-1]
		k.recent = k.recent[:len(k.recent)-1]
	} else {
		part, tokens = k.newPart(), leastPart+k.random.IntN(mostPart-leastPart)
		if len(k.recent) < keptForDrop {
			k.recent = append(k.recent, part)
		}
	}
	text = append(text, '[')
	text = strconv.AppendUint(text, k.next, 10)
	k.next++
	text = append(text, ',', '"', sign, '"', ',', '"')
	text = append(text, k.broker.model...)
	text = append(text, "/1\",\""...)
	text = strconv.AppendUint(text, part, 16)
	text = append(text, '"', ',')
	text = strconv.AppendInt(text, int64(tokens), 10)
	text = append(text, ',', '"')
	text = append(text, k.broker.model...)
	return append(text, '"', ']')
}

// newPart is one that many prompts share, or one of its own.
func (k *keptParts) newPart() uint64 {
	if k.random.Float64() < sharedShare {
		return sharedPart(k.broker.service, k.random)
	}
	return k.random.Uint64() | 1
}

// sharedPart is one of the parts that many prompts of a service begin with.
func sharedPart(service string, random *rand.Rand) uint64 {
	return xxhash.Sum64String(service)<<16 | uint64(random.IntN(sharedParts)) + 1
}
