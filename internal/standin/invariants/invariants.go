// Package rules checks a broker's six rules from outside: from what clients asked and heard, and from what servers were
// sent and did. It knows nothing of the broker's inside, and its findings name the search and the time.
package invariants

import (
	"bytes"
	"fmt"
	"math"
	"sort"
)

// Effect is what a second run would do.
type Effect uint8

// The effects that a second run of a sub-request may have.
const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// Book is what happened. Times are milliseconds of one clock.
type Book struct {
	Slack      float64 // that a final answer may be late, for the way to the client
	DrainAfter float64 // that a server may still be sent to after it was told to drain
	Spare      float64 // the budget of further sub-requests: so many,
	Ratio      float64 // and so many for each search and part
	Over       float64 // over any such time; 0: no budget
	ColdMost   int     // sub-requests that a cold server bears in ColdOver ms; 0: not checked
	ColdOver   float64
	Window     float64 // of a token
	Strict     bool    // nothing of a search arrives after its time: not where the network holds things up

	asks    map[string]*ask
	order   []string
	drained map[string]float64 // by server, when told
	cold    map[string][2]float64
	colds   map[string][]float64
	further []float64
	taken   []float64
	found   []string
}

type ask struct {
	id      string
	effect  Effect
	at      float64
	until   float64
	finals  int
	left    bool
	subs    []*Sub
	answers [][]byte
}

// Sub is one sub-request as its server saw it.
type Sub struct {
	Part    string
	Server  string
	At      float64
	Never   bool // it proved to its broker that it has not run
	NeverAt float64
}

// New makes an empty book.
func New() *Book {
	return &Book{Slack: 5, DrainAfter: 500, asks: map[string]*ask{}, drained: map[string]float64{},
		cold: map[string][2]float64{}, colds: map[string][]float64{}}
}

func (b *Book) wrong(form string, args ...any) { b.found = append(b.found, fmt.Sprintf(form, args...)) }

// Wrong puts down what another checker found.
func (b *Book) Wrong(form string, args ...any) { b.wrong(form, args...) }

// Asked records that a search was sent whole; its client waits until a time.
func (b *Book) Asked(id string, effect Effect, at, until float64) {
	if b.asks[id] != nil {
		b.wrong("two searches %s", id)
	}
	b.asks[id] = &ask{id: id, effect: effect, at: at, until: until}
	b.order = append(b.order, id)
	b.taken = append(b.taken, at)
}

// Left records that a search's client waits no more.
func (b *Book) Left(id string) { b.asks[id].left = true }

// Sent records that a server was sent a sub-request of a search's part.
func (b *Book) Sent(id, part, server string, at float64) *Sub {
	a := b.asks[id]
	s := &Sub{Part: part, Server: server, At: at}
	if a == nil {
		b.wrong("%s was sent %s, which nobody asked for, at %.1f", server, id, at)
		return s
	}
	if told, drains := b.drained[server]; drains && at > told+b.DrainAfter {
		b.wrong("rule 3: %s was sent %s at %.1f, told to drain at %.1f", server, id, at, told)
	}
	if b.Strict && a.finals > 0 && at > a.until {
		b.wrong("%s was sent %s at %.1f, after its end", server, id, at)
	}
	first := true
	for _, o := range a.subs {
		if o.Part != part {
			continue
		}
		first = false
		ran := !(o.Never && o.NeverAt <= at)
		if ran && (a.effect == NonIdempotent || a.effect == Tokened && at > o.At+b.Window) {
			b.wrong("rule 2: %s went to %s at %.1f while one at %s may have run", id, server, at, o.Server)
		}
	}
	if !first {
		b.further = append(b.further, at)
		b.budget(at)
	}
	if c, cold := b.cold[server]; cold && at >= c[0] && at < c[1] {
		list := append(b.colds[server], at)
		for len(list) > 0 && list[0] < at-b.ColdOver {
			list = list[1:]
		}
		b.colds[server] = list
		if b.ColdMost > 0 && len(list) > b.ColdMost {
			b.wrong("rule 4: %s, cold, was sent %d in %.0f ms at %.1f", server, len(list), b.ColdOver, at)
		}
	}
	a.subs = append(a.subs, s)
	return s
}

func (b *Book) budget(at float64) {
	if b.Over == 0 {
		return
	}
	since := at - b.Over
	n := len(b.further) - sort.SearchFloat64s(b.further, since)
	earned := len(b.taken) - sort.SearchFloat64s(b.taken, since)
	// A search and its part each earn.
	if float64(n) > b.Spare+b.Ratio*2*float64(earned)+1e-9 {
		b.wrong("rule 6: %d further sub-requests in %.0f ms for %d searches at %.1f", n, b.Over, earned, at)
	}
}

// NeverRan records that the server proved to its broker that it had not looked at the sub-request.
func (s *Sub) NeverRan(at float64) { s.Never, s.NeverAt = true, at }

// Answered records what a server gave for a search, whole.
func (b *Book) Answered(id string, value []byte) {
	if a := b.asks[id]; a != nil {
		a.answers = append(a.answers, append([]byte(nil), value...))
	}
}

// Final records the client's final answer. whole: it says that value is the whole of it. harmless: it
// invites asking again.
func (b *Book) Final(id string, at float64, whole bool, value []byte, harmless bool) {
	a := b.asks[id]
	if a == nil {
		b.wrong("an answer to %s, which nobody asked", id)
		return
	}
	if a.finals++; a.finals > 1 {
		b.wrong("rule 1: %d final answers to %s", a.finals, id)
	}
	if at > a.until+b.Slack {
		b.wrong("rule 1: %s answered at %.1f, its time was up at %.1f", id, at, a.until)
	}
	if whole {
		for _, v := range a.answers {
			if bytes.Equal(v, value) {
				return
			}
		}
		b.wrong("rule 5: %s is said to be whole with what no server gave: %q", id, value)
	}
	if harmless && a.effect == NonIdempotent {
		for _, s := range a.subs {
			if !s.Never {
				b.wrong("rule 2: %s is shed though it may have run at %s", id, s.Server)
			}
		}
	}
}

// Told records that discovery told the broker to send a server nothing new, or that it may again.
func (b *Book) Told(server string, drains bool, at float64) {
	if !drains {
		delete(b.drained, server)
	} else if _, was := b.drained[server]; !was {
		b.drained[server] = at
	}
}

// Cold records that a server is cold for a time.
func (b *Book) Cold(server string, from, to float64) { b.cold[server] = [2]float64{from, to} }

// Check gives what was found so far; at now, no search may be without its answer past its time.
func (b *Book) Check(now float64) []string {
	for _, id := range b.order {
		a := b.asks[id]
		if a.finals == 0 && !a.left && now > a.until+b.Slack {
			b.wrong("rule 1: %s has no answer at %.1f, its time was up at %.1f", id, now, a.until)
			a.left = true
		}
	}
	if len(b.order) > 0 && math.IsInf(now, 1) {
		b.order = nil
	}
	return b.found
}
