package forward

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

const (
	// maxRecordedGaps bounds the pauses of a stream from which the usual one is taken.
	maxRecordedGaps = 24
	// typicalQuantile is the quantile that counts as usual: most longer pauses are those in which the broker read other prompts.
	typicalQuantile = 0.15
)

// gapMeter measures the pauses between the events of a stream as they come from its broker.
type gapMeter struct {
	lastEventAt core.Time // of the last events; 0: none yet
	maxGap      core.Time
	firstGaps   [maxRecordedGaps]core.Time
	count       int // pauses in all
}

// observe takes the arrival of events.
func (m *gapMeter) observe(now core.Time) {
	if m.lastEventAt != 0 {
		pause := now - m.lastEventAt
		m.maxGap = max(m.maxGap, pause)
		if m.count < maxRecordedGaps {
			m.firstGaps[m.count] = pause
		}
		m.count++
	}
	m.lastEventAt = now
}

// summary is what the router is told.
func (m *gapMeter) summary() routing.Pauses {
	kept := slices.Clone(m.firstGaps[:min(m.count, maxRecordedGaps)])
	if len(kept) == 0 {
		return routing.Pauses{}
	}
	slices.Sort(kept)
	return routing.Pauses{Count: m.count, Usual: kept[int(typicalQuantile*float64(len(kept)))], Longest: m.maxGap}
}
