package scenario

import (
	"math"
	"sort"

	"kestrelspread/internal/fleet/lossplan"
	"kestrelspread/internal/rig/links"
)

// truth is a cut of the run, or, without To, a site that was lost with all that is there. Times are in ms of the run.
type truth struct {
	links.Fault
	from, to float64
}

// truth notes one that begins now, and gives what ends it.
func (w *world) truth(f links.Fault) (over func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	at := len(w.truths)
	w.truths = append(w.truths, truth{f, w.now(), math.Inf(1)})
	return func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		w.truths[at].to = w.now()
	}
}

// whole tells whether a pattern takes in all of a site.
func (w *world) whole(pattern string, site int) bool {
	return pattern == "*" || pattern == "@"+w.Sites[site].Name
}

// moment is what one who sees everything knows of a time of the run: cuts, lost sites, slow, silent and cold servers.
func (w *world) moment(at float64) *lossplan.Conditions {
	f := w.Fleet()
	m := f.IdealConditions()
	load := 0.0
	for _, s := range w.Sites {
		load += *s.Load
	}
	for i, s := range w.Sites {
		m.ArrivalShare[i] = *s.Load / load
	}
	for i, s := range w.servers {
		bears, silent := s.station.Could(at)
		if m.CapacityPerS[i] = bears; silent {
			m.CapacityPerS[i] = 0
		}
	}
	var lost, moved []int
	for _, t := range w.truths {
		if at < t.from || at >= t.to {
			continue
		}
		if t.To == "" {
			for i := range w.Sites {
				if w.whole(t.From, i) {
					lost = append(lost, i)
				}
			}
			continue
		}
		for a := range w.Sites {
			// Clients of a site whose own brokers they do not reach come in at the others'.
			if (t.From == "*" || t.From == "clients-"+w.Sites[a].Name) && w.whole(t.To, a) {
				moved = append(moved, a)
			}
			for b := range w.Sites {
				if w.whole(t.From, a) && w.whole(t.To, b) || w.whole(t.From, b) && w.whole(t.To, a) {
					m.Partition(a, b) // a handshake and an answer need both ways
				}
			}
		}
	}
	for _, at := range moved {
		share := m.ArrivalShare[at]
		m.ArrivalShare[at] = 0
		for i := range m.ArrivalShare {
			if i != at {
				m.ArrivalShare[i] += share / float64(len(m.ArrivalShare)-1)
			}
		}
	}
	sort.Ints(lost)
	return m.LoseSites(f, lost...)
}

// bounds gives by second and query type the most that could be served of it, by whoever knows all that holds at any moment. A
// second in which something changed counts by the time that each lasted.
func (w *world) bounds() [][]float64 {
	f, known := w.Fleet(), map[string][]float64{}
	most := func(m *lossplan.Conditions) []float64 {
		key := m.Key()
		if known[key] == nil {
			b, err := f.UpperBound(m)
			if err != nil { // the programme did not come to an end: nothing is claimed to be out of reach then
				w.opt.Say("no bound: %v", err)
				b = &lossplan.Bound{Served: make([]float64, len(w.Types))}
				for i := range b.Served {
					b.Served[i] = 1
				}
			}
			known[key] = b.Served
		}
		return known[key]
	}
	list := make([][]float64, int(w.Seconds))
	for sec := range list {
		list[sec] = make([]float64, len(w.Types))
		from, to := float64(sec)*1000, float64(sec+1)*1000
		cuts := []float64{from, to}
		for _, t := range w.truths {
			for _, at := range []float64{t.from, t.to} {
				if at > from && at < to {
					cuts = append(cuts, at)
				}
			}
		}
		sort.Float64s(cuts)
		for i := 1; i < len(cuts); i++ {
			for n, v := range most(w.moment((cuts[i-1] + cuts[i]) / 2)) {
				list[sec][n] += v * (cuts[i] - cuts[i-1]) / 1000
			}
		}
	}
	return list
}
