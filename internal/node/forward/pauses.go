package forward

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

const (
	// pausesKept bounds the pauses of a stream from which the usual one is taken.
	pausesKept = 24
	// usualShare is the quantile that counts as usual: most longer pauses are those in which the broker read other prompts.
	usualShare = 0.15
)

// pauseMeter measures the pauses between the events of a stream as they come from its broker.
type pauseMeter struct {
	at      core.Time // of the last events; 0: none yet
	longest core.Time
	first   [pausesKept]core.Time
	count   int // pauses in all
}

// note takes the arrival of events.
func (m *pauseMeter) note(now core.Time) {
	if m.at != 0 {
		pause := now - m.at
		m.longest = max(m.longest, pause)
		if m.count < pausesKept {
			m.first[m.count] = pause
		}
		m.count++
	}
	m.at = now
}

// summary is what the router is told.
func (m *pauseMeter) summary() routing.Pauses {
	kept := slices.Clone(m.first[:min(m.count, pausesKept)])
	if len(kept) == 0 {
		return routing.Pauses{}
	}
	slices.Sort(kept)
	return routing.Pauses{Count: m.count, Usual: kept[int(usualShare*float64(len(kept)))], Longest: m.longest}
}
