// Package zonerecovery schedules the recovery of lost sites, with one schedule for the whole fleet. The load of a site rises in
// steps from none to its full share. The steps go on only as long as the site is not reported lost again, and they get longer
// with each further loss. The schedule is a reducer: the observations of instances and times go in, stages come out; it does no
// I/O and reads no clock. The failure detector of each broker decides what to do with a stage (package zonefailure): a stage can
// slow down the recovery of a site at that broker, but neither begins nor ends it.
//
// Invariants: a share rises by one step at a time, and a rise from a share above 0 comes no sooner than one step's time after the
// last change. A single instance can't set the share of a site back to 0.
package zonerecovery

import (
	"encoding/json"
	"slices"
)

// report is the latest observation of a site by one instance.
type report struct {
	lost   bool
	seenAt float64 // ms
}

// siteState is the state of a site that has recently been reported lost.
type siteState struct {
	Stage
	reports    map[string]report // latest report by instance
	stageSince float64           // when the present stage began, in ms of the clock of this process
}

// maxReportsPerSite is the largest number of instances whose reports are kept for one site.
const maxReportsPerSite = 1000

// Schedule holds the recovery state of all sites.
type Schedule struct {
	config      Config
	sites       map[int]*siteState
	changed     bool    // whether stages have changed since they were last published
	publishedAt float64 // ms
}

// New returns a schedule that continues from the stages that the previous holder of the role published. now is the present time in
// ms. Each stage is taken to begin then, because the time at which it really began is not known. Malformed data is ignored as a whole,
// so that no site is held back.
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

// Observe records that an instance observed at seenAt, in ms, whether a site is lost. A site that has not been reported lost has
// no stage, so observations that it is healthy are ignored. So are observations older than the instance's latest one, and those of
// further instances if maxReportsPerSite have reported.
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
	case known && previous.seenAt > seenAt: // a newer report has arrived before this one
	case !known && len(site.reports) >= maxReportsPerSite:
	default:
		site.reports[instance] = report{lost, seenAt}
	}
}

// Advance advances the recovery of all sites to the time now, in ms. It returns the stages to publish as JSON, and whether there
// is anything to publish: stages that have changed, or stages below the full share whose republication is due.
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

// advanceSite moves a site to its next stage if a change is due, and removes a site that has recovered and whose losses are to be
// forgotten.
func (s *Schedule) advanceSite(now float64, index int, site *siteState) {
	lost, healthy := site.countReports(now, s.config.MaxReportAgeMs)
	shareStep := 1 / float64(s.config.Steps)
	switch {
	case site.Share > 0 && lost >= s.config.MinReporters:
		s.enterStage(now, site, 0)
		site.RecentLosses++
	case site.Share == 0 && healthy > 0 && healthy >= lost:
		s.enterStage(now, site, shareStep)
	case site.Share > 0 && site.Share < 1 && now >= site.stageSince+s.stepMs(site):
		s.enterStage(now, site, min(site.Share+shareStep, 1))
	case site.Share >= 1 && now >= site.stageSince+s.config.LossMemoryMs && len(site.reports) == 0:
		delete(s.sites, index)
		s.changed = true
	}
}

// enterStage begins a stage with the given share.
func (s *Schedule) enterStage(now float64, site *siteState, share float64) {
	site.Share, site.stageSince = share, now
	s.changed = true
}

// countReports drops expired reports and counts the others by what they say. Reports of a loss count only if the loss was seen
// after the present stage began, as earlier ones have already been taken into account by that stage.
func (s *siteState) countReports(now, maxAgeMs float64) (lost, healthy int) {
	for instance, report := range s.reports {
		switch {
		case now-report.seenAt > maxAgeMs:
			delete(s.reports, instance)
		case report.lost && report.seenAt >= s.stageSince:
			lost++
		case !report.lost:
			healthy++
		}
	}
	return lost, healthy
}

// stepMs returns the time between two steps of a site's recovery. It doubles with each recent loss after the first.
func (s *Schedule) stepMs(site *siteState) float64 {
	step := s.config.MinStepMs
	for n := 1; n < site.RecentLosses && step < s.config.MaxStepMs; n++ {
		step *= 2
	}
	return min(step, s.config.MaxStepMs)
}

// marshal returns the stages of all sites as JSON, in the order of their sites.
func (s *Schedule) marshal() []byte {
	stages := make([]Stage, 0, len(s.sites))
	for _, site := range s.sites {
		stages = append(stages, site.Stage)
	}
	slices.SortFunc(stages, func(a, b Stage) int { return a.Site - b.Site })
	data, _ := json.Marshal(stages) // can't fail: all numbers are finite
	return data
}
