package forward

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

const (
	// maxRecordedGaps bounds the gaps of a stream from which the typical one is taken.
	maxRecordedGaps = 24
	// typicalQuantile is the quantile that counts as typical: during most longer gaps the broker
	// prefills other prompts.
	typicalQuantile = 0.15
)

// gapMeter measures the gaps between the events of a stream as they arrive from its broker.
type gapMeter struct {
	lastEventAt core.Time // of the last events; 0: none yet
	maxGap      core.Time
	firstGaps   [maxRecordedGaps]core.Time
	count       int // of all gaps
}

// observe records the arrival of events.
func (m *gapMeter) observe(now core.Time) {
	if m.lastEventAt != 0 {
		gap := now - m.lastEventAt
		m.maxGap = max(m.maxGap, gap)
		if m.count < maxRecordedGaps {
			m.firstGaps[m.count] = gap
		}
		m.count++
	}
	m.lastEventAt = now
}

// summary returns what the router is told.
func (m *gapMeter) summary() routing.EventGaps {
	kept := slices.Clone(m.firstGaps[:min(m.count, maxRecordedGaps)])
	if len(kept) == 0 {
		return routing.EventGaps{}
	}
	slices.Sort(kept)
	return routing.EventGaps{Count: m.count, Typical: kept[int(typicalQuantile*float64(len(kept)))], Max: m.maxGap}
}
