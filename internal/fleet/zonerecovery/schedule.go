// Package zonerecovery paces a site's return once for the whole fleet: from nothing to its full share by steps that go on only while
// nobody says that the site is lost again, and that get longer each time it falls. It is a reducer: what instances saw and times
// go in, stages come out. What a broker makes of a stage is its own sight's to decide (package site): a stage can slow its
// return down, and neither brings it about nor ends it.
package zonerecovery

import (
	"encoding/json"
	"slices"
)

// Rules are times in ms.
type Rules struct {
	Steps   int     // from the first trials to the full share
	Step    float64 // the shortest
	Longest float64
	Heed    int     // instances that have to say that a site is lost
	Fresh   float64 // what was said so long ago counts no more
	Calm    float64 // at the full share, after which falls are forgotten
	Repeat  float64 // a stage under the full share is said again, as what is old counts for little
}

// Usual are the rules that owners go by.
var Usual = Rules{Steps: 4, Step: 1000, Longest: 16000, Heed: 2, Fresh: 10000, Calm: 60000, Repeat: 2000}

// Stage is how far a site has come back. Share 0: it is lost; 1: it is back.
type Stage struct {
	Site  int     `json:"site"`
	Share float64 `json:"share"`
	Falls int     `json:"falls"` // lately; each doubles the steps
}

type word struct {
	lost bool
	at   float64
}

type site struct {
	Stage
	words map[string]word // by instance, the latest
	since float64         // when this stage began, here
}

// Pace is the reducer.
type Pace struct {
	rules Rules
	sites map[int]*site
	dirty bool
	said  float64
}

const wordsMost = 1000 // of a site

// New goes on from what the owner before had published, at a time: each stage has begun just now, as nobody knows better.
func New(rules Rules, data []byte, now float64) *Pace {
	p := &Pace{rules: rules, sites: map[int]*site{}}
	list, err := Read(data)
	if err != nil {
		return p // what can't be read paces nothing
	}
	for _, s := range list {
		p.sites[s.Site] = &site{Stage: s, words: map[string]word{}, since: now}
	}
	return p
}

// Read reads stages that were published.
func Read(data []byte) (list []Stage, err error) {
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

// Saw takes what an instance reports that it saw of a site, at a time.
func (p *Pace) Saw(at float64, who string, no int, lost bool) {
	if no < 0 {
		return
	}
	s := p.sites[no]
	if s == nil {
		if !lost {
			return // no stage is needed for what nobody held to be lost
		}
		s = &site{Stage: Stage{Site: no, Share: 1}, words: map[string]word{}, since: at}
		p.sites[no] = s
	}
	if was, known := s.words[who]; known && was.at > at || !known && len(s.words) >= wordsMost {
		return
	}
	s.words[who] = word{lost, at}
}

// Turn gives what is to be published at a time; false where nothing has changed.
func (p *Pace) Turn(now float64) (data []byte, changed bool) {
	for no, s := range p.sites {
		lost, heard := 0, 0
		for who, w := range s.words {
			switch {
			case now-w.at > p.rules.Fresh:
				delete(s.words, who)
			case w.lost && w.at >= s.since:
				lost++
			case !w.lost:
				heard++
			}
		}
		step := p.rules.Step
		for n := 1; n < s.Falls && step < p.rules.Longest; n++ {
			step *= 2
		}
		step = min(step, p.rules.Longest)
		switch {
		case s.Share > 0 && lost >= p.rules.Heed:
			s.Share, s.since, p.dirty = 0, now, true
			s.Falls++
		case s.Share == 0 && heard > 0 && heard >= lost:
			s.Share, s.since, p.dirty = 1/float64(p.rules.Steps), now, true
		case s.Share > 0 && s.Share < 1 && now >= s.since+step:
			s.Share, s.since, p.dirty = min(s.Share+1/float64(p.rules.Steps), 1), now, true
		case s.Share >= 1 && now >= s.since+p.rules.Calm && len(s.words) == 0:
			delete(p.sites, no)
			p.dirty = true
		}
	}
	for _, s := range p.sites {
		p.dirty = p.dirty || s.Share < 1 && now >= p.said+p.rules.Repeat
	}
	if !p.dirty {
		return nil, false
	}
	p.dirty, p.said = false, now
	list := make([]Stage, 0, len(p.sites))
	for _, s := range p.sites {
		list = append(list, s.Stage)
	}
	slices.SortFunc(list, func(a, b Stage) int { return a.Site - b.Site })
	data, _ = json.Marshal(list)
	return data, true
}
