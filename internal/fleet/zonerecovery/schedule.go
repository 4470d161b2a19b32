// Package zonerecovery paces a site's return once for the whole fleet: from nothing to its full share by steps that go on only while
// nobody says that the site is lost again, and that get longer each time it falls. It is a reducer: what instances saw and times
// go in, stages come out. What a broker makes of a stage is its own sight's to decide (package site): a stage can slow its
// return down, and neither brings it about nor ends it.
package zonerecovery

import (
	"encoding/json"
	"slices"
)

// Config are times in ms.
type Config struct {
	Steps         int     // from the first trials to the full share
	MinStepMs     float64 // the shortest
	MaxStepMs     float64
	MinReporters  int     // instances that have to say that a site is lost
	ReportFreshMs float64 // what was said so long ago counts no more
	LossMemoryMs  float64 // at the full share, after which falls are forgotten
	RepublishMs   float64 // a stage under the full share is said again, as what is old counts for little
}

// DefaultConfig are the rules that owners go by.
var DefaultConfig = Config{Steps: 4, MinStepMs: 1000, MaxStepMs: 16000, MinReporters: 2, ReportFreshMs: 10000, LossMemoryMs: 60000, RepublishMs: 2000}

// Stage is how far a site has come back. Share 0: it is lost; 1: it is back.
type Stage struct {
	Site         int     `json:"site"`
	Share        float64 `json:"share"`
	RecentLosses int     `json:"falls"` // lately; each doubles the steps
}

type report struct {
	lost   bool
	seenAt float64
}

type siteState struct {
	Stage
	reports    map[string]report // by instance, the latest
	stageSince float64           // when this stage began, here
}

// Schedule is the reducer.
type Schedule struct {
	config      Config
	sites       map[int]*siteState
	changed     bool
	publishedAt float64
}

const maxReportsPerSite = 1000 // of a site

// New goes on from what the owner before had published, at a time: each stage has begun just now, as nobody knows better.
func New(rules Config, data []byte, now float64) *Schedule {
	p := &Schedule{config: rules, sites: map[int]*siteState{}}
	list, err := ParseStages(data)
	if err != nil {
		return p // what can't be read paces nothing
	}
	for _, s := range list {
		p.sites[s.Site] = &siteState{Stage: s, reports: map[string]report{}, stageSince: now}
	}
	return p
}

// ParseStages reads stages that were published.
func ParseStages(data []byte) (list []Stage, err error) {
	if len(data) > 0 {
		err = json.Unmarshal(data, &list)
	}
	kept := list[:0]
	for _, s := range list {
		if s.Site >= 0 && s.Share >= 0 && s.Share <= 1 {
			kept = append(kept, s)
		}
	}
	return kept, err
}

// Observe takes what an instance reports that it saw of a site, at a time.
func (p *Schedule) Observe(at float64, who string, no int, lost bool) {
	if no < 0 {
		return
	}
	s := p.sites[no]
	if s == nil {
		if !lost {
			return // no stage is needed for what nobody held to be lost
		}
		s = &siteState{Stage: Stage{Site: no, Share: 1}, reports: map[string]report{}, stageSince: at}
		p.sites[no] = s
	}
	if was, known := s.reports[who]; known && was.seenAt > at || !known && len(s.reports) >= maxReportsPerSite {
		return
	}
	s.reports[who] = report{lost, at}
}

// Advance gives what is to be published at a time; false where nothing has changed.
func (p *Schedule) Advance(now float64) (data []byte, changed bool) {
	for no, s := range p.sites {
		lost, heard := 0, 0
		for who, w := range s.reports {
			switch {
			case now-w.seenAt > p.config.ReportFreshMs:
				delete(s.reports, who)
			case w.lost && w.seenAt >= s.stageSince:
				lost++
			case !w.lost:
				heard++
			}
		}
		step := p.config.MinStepMs
		for n := 1; n < s.RecentLosses && step < p.config.MaxStepMs; n++ {
			step *= 2
		}
		step = min(step, p.config.MaxStepMs)
		switch {
		case s.Share > 0 && lost >= p.config.MinReporters:
			s.Share, s.stageSince, p.changed = 0, now, true
			s.RecentLosses++
		case s.Share == 0 && heard > 0 && heard >= lost:
			s.Share, s.stageSince, p.changed = 1/float64(p.config.Steps), now, true
		case s.Share > 0 && s.Share < 1 && now >= s.stageSince+step:
			s.Share, s.stageSince, p.changed = min(s.Share+1/float64(p.config.Steps), 1), now, true
		case s.Share >= 1 && now >= s.stageSince+p.config.LossMemoryMs && len(s.reports) == 0:
			delete(p.sites, no)
			p.changed = true
		}
	}
	for _, s := range p.sites {
		p.changed = p.changed || s.Share < 1 && now >= p.publishedAt+p.config.RepublishMs
	}
	if !p.changed {
		return nil, false
	}
	p.changed, p.publishedAt = false, now
	list := make([]Stage, 0, len(p.sites))
	for _, s := range p.sites {
		list = append(list, s.Stage)
	}
	slices.SortFunc(list, func(a, b Stage) int { return a.Site - b.Site })
	data, _ = json.Marshal(list)
	return data, true
}
