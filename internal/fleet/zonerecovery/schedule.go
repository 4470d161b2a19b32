// Package zonerecovery schedules a lost site's recovery once for the whole fleet: from no load to its full share by steps that
// go on only while nobody reports it lost again, and that get longer with each loss. It is a reducer: instances'
// observations and times go in, stages come out; no I/O, no clock. What a broker makes of a stage is for its own detector to
// decide (package zonefailure): a stage can slow that broker's recovery down, and neither begins nor ends it.
//
// Invariants: a share rises by one step at a time, and never sooner than a step after the last change; one instance alone
// takes no site back to share 0.
package zonerecovery

import (
	"encoding/json"
	"slices"
)

// report is what an instance last observed of a site.
type report struct {
	lost   bool
	seenAt float64
}

// siteState is a site that was reported lost lately.
type siteState struct {
	Stage
	reports    map[string]report // by instance, the latest
	stageSince float64           // when this stage began, by this process' clock
}

// maxReportsPerSite bounds the instances whose reports are kept for a site.
const maxReportsPerSite = 1000

// Schedule is the state of all recoveries.
type Schedule struct {
	config      Config
	sites       map[int]*siteState
	changed     bool // since the last publication
	publishedAt float64
}

// New continues from what the previous holder of the role had published. Each stage counts from now, as nobody knows when it
// began. Data that can't be read holds no site back.
func New(config Config, published []byte, now float64) *Schedule {
	s := &Schedule{config: config, sites: map[int]*siteState{}}
	stages, err := ParseStages(published)
	if err != nil {
		return s
	}
	for _, stage := range stages {
		s.sites[stage.Site] = newSiteState(stage, now)
	}
	return s
}

func newSiteState(stage Stage, since float64) *siteState {
	return &siteState{Stage: stage, reports: map[string]report{}, stageSince: since}
}

// Observe takes an instance's observation of a site at seenAt. A site that nobody has reported lost needs no stage.
func (s *Schedule) Observe(seenAt float64, instance string, siteIndex int, lost bool) {
	if siteIndex < 0 {
		return
	}
	site := s.sites[siteIndex]
	if site == nil {
		if !lost {
			return
		}
		site = newSiteState(Stage{Site: siteIndex, Share: 1}, seenAt)
		s.sites[siteIndex] = site
	}
	previous, known := site.reports[instance]
	switch {
	case known && previous.seenAt > seenAt: // overtaken on its way by a newer one
	case !known && len(site.reports) >= maxReportsPerSite:
	default:
		site.reports[instance] = report{lost, seenAt}
	}
}

// Advance moves all recoveries on to now. It returns the stages to be published, or false where nothing has changed.
func (s *Schedule) Advance(now float64) (data []byte, changed bool) {
	for index, site := range s.sites {
		s.advanceSite(now, index, site)
	}
	for _, site := range s.sites {
		s.changed = s.changed || site.Share < 1 && now >= s.publishedAt+s.config.RepublishMs
	}
	if !s.changed {
		return nil, false
	}
	s.changed, s.publishedAt = false, now
	return s.marshal(), true
}

func (s *Schedule) advanceSite(now float64, index int, site *siteState) {
	lost, healthy := site.countReports(now, s.config.ReportFreshMs)
	firstShare := 1 / float64(s.config.Steps)
	switch {
	case site.Share > 0 && lost >= s.config.MinReporters:
		s.enterStage(now, site, 0)
		site.RecentLosses++
	case site.Share == 0 && healthy > 0 && healthy >= lost:
		s.enterStage(now, site, firstShare)
	case site.Share > 0 && site.Share < 1 && now >= site.stageSince+s.stepMs(site):
		s.enterStage(now, site, min(site.Share+firstShare, 1))
	case site.Share >= 1 && now >= site.stageSince+s.config.LossMemoryMs && len(site.reports) == 0:
		delete(s.sites, index)
		s.changed = true
	}
}

func (s *Schedule) enterStage(now float64, site *siteState, share float64) {
	site.Share, site.stageSince = share, now
	s.changed = true
}

// countReports drops expired reports and counts the others: losses only since the present stage began, as earlier ones brought
// it about.
func (s *siteState) countReports(now, freshMs float64) (lost, healthy int) {
	for instance, report := range s.reports {
		switch {
		case now-report.seenAt > freshMs:
			delete(s.reports, instance)
		case report.lost && report.seenAt >= s.stageSince:
			lost++
		case !report.lost:
			healthy++
		}
	}
	return lost, healthy
}

// stepMs doubles with each recent loss after the first.
func (s *Schedule) stepMs(site *siteState) float64 {
	step := s.config.MinStepMs
	for n := 1; n < site.RecentLosses && step < s.config.MaxStepMs; n++ {
		step *= 2
	}
	return min(step, s.config.MaxStepMs)
}

func (s *Schedule) marshal() []byte {
	stages := make([]Stage, 0, len(s.sites))
	for _, site := range s.sites {
		stages = append(stages, site.Stage)
	}
	slices.SortFunc(stages, func(a, b Stage) int { return a.Site - b.Site })
	data, _ := json.Marshal(stages) // finite numbers can't fail
	return data
}
