package scenario

import "github.com/HdrHistogram/hdrhistogram-go"

// counts are the outcomes that clients saw, by query type and by the second of the first attempt.
type counts struct {
	types []typeCounts
	file  *File
}

type typeCounts struct {
	seconds   []Tally
	latencyMs *hdrhistogram.Histogram // of answered queries
}

// Tally counts the outcomes of queries.
type Tally struct {
	Offered    int     `json:"Offered"`
	InTime     int     `json:"InTime"`
	Late       int     `json:"Late"`
	Incomplete int     `json:"InPart"` // and in time
	Shed       int     `json:"Shed"`
	Errored    int     `json:"Errored"`
	NoBroker   int     `json:"Nobody"` // no broker accepted the query
	Value      float64 `json:"Value"`
}

func newCounts(f *File) *counts {
	c := &counts{types: make([]typeCounts, len(f.Types)), file: f}
	for i := range c.types {
		c.types[i].latencyMs = hdrhistogram.New(1, 120000, 2)
	}
	return c
}

func (c *counts) tally(kind int, ms float64) *Tally {
	k, i := &c.types[kind], max(int(ms/1000), 0)
	for len(k.seconds) <= i {
		k.seconds = append(k.seconds, Tally{})
	}
	return &k.seconds[i]
}

func (c *counts) offered(kind int, begin float64) { c.tally(kind, begin).Offered++ }

func (c *counts) ended(kind int, begin, took float64, end attemptOutcome) {
	t, at := c.file.Types[kind], c.tally(kind, begin)
	if end == answered || end == incomplete {
		c.types[kind].latencyMs.RecordValue(max(int64(took), 1))
	}
	switch {
	case end == shed:
		at.Shed++
	case end == failed:
		at.Errored++
	case end == noBroker:
		at.NoBroker++
	case took <= t.TargetMs:
		at.InTime++
		at.Value += t.Value
		if end == incomplete {
			at.Incomplete++
		}
	default:
		at.Late++
		at.Value += t.Value * *t.LateValue
	}
}

// quantile is a quantile of the latency of answered queries, in ms.
func (c *counts) quantile(kind int, percent float64) float64 {
	return float64(c.types[kind].latencyMs.ValueAtQuantile(percent))
}

// sum adds up the seconds in [from, to).
func (c *counts) sum(kind, from, to int) (s Tally) {
	for i, t := range c.types[kind].seconds {
		if i >= from && i < to {
			s.Offered += t.Offered
			s.InTime += t.InTime
			s.Late += t.Late
			s.Incomplete += t.Incomplete
			s.Shed += t.Shed
			s.Errored += t.Errored
			s.NoBroker += t.NoBroker
			s.Value += t.Value
		}
	}
	return s
}
