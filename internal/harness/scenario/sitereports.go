package scenario

import (
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// siteLogLine matches the messages of package zonefailure about a site.
var siteLogLine = regexp.MustCompile(`^site (\d+) (lost|returning) `)

// collectSiteReports reads the log lines of brokers on sites, counts the false alarms, and determines the time of detection.
func (run *runner) collectSiteReports(r *Report) {
	for _, b := range run.brokers {
		text, _ := os.ReadFile(b.log.Name())
		r.Logs = append(r.Logs, string(text))
		for line := range strings.Lines(string(text)) {
			report, ok := run.parseSiteReport(b, line)
			if !ok {
				continue
			}
			r.SiteReports = append(r.SiteReports, report)
			if report.Lost && !run.isJustified(b, &report) {
				r.FalseAlarms++
			}
		}
	}
	if len(run.siteLosses) > 0 {
		r.DetectionMs = run.detectionMs(r.SiteReports, run.siteLosses[0])
	}
}

// parseSiteReport parses a log line. false: it is not about a site.
func (run *runner) parseSiteReport(b *brokerProcess, line string) (SiteReport, bool) {
	var entry struct{ Time, Message string }
	if json.Unmarshal([]byte(line), &entry) != nil {
		return SiteReport{}, false
	}
	match := siteLogLine.FindStringSubmatch(entry.Message)
	if match == nil {
		return SiteReport{}, false
	}
	loggedAt, err := time.Parse(logTimeLayout, entry.Time)
	if err != nil {
		return SiteReport{}, false
	}
	site, _ := strconv.Atoi(match[1])
	return SiteReport{
		Broker: b.name, AtMs: float64(loggedAt.UnixMicro())/1000 - float64(run.startedAt.UnixMicro())/1000,
		Site: site, Text: entry.Message, Lost: match[2] == "lost", OwnSite: site == b.site,
	}, true
}

// logTimeLayout is that of the brokers' logs.
const logTimeLayout = "2006-01-02T15:04:05.000Z07:00"

const (
	clockToleranceMs  = 5    // of the times in logs
	lateReportGraceMs = 1000 // after the return of a site
)

// isJustified reports whether the site was lost, or the broker's own site was: its brokers are partitioned from all others, and may
// report these as lost.
func (run *runner) isJustified(b *brokerProcess, report *SiteReport) bool {
	return slices.ContainsFunc(run.siteLosses, func(loss siteLoss) bool {
		concerned := loss.site == report.Site || loss.site == b.site
		return concerned && report.AtMs >= loss.startMs-clockToleranceMs && report.AtMs <= loss.endMs+lateReportGraceMs
	})
}

// detectionMs is the time from a loss until half of the brokers outside of the site had reported it; -1: never.
func (run *runner) detectionMs(reports []SiteReport, loss siteLoss) float64 {
	observers := 0
	for _, b := range run.brokers {
		if b.site != loss.site {
			observers++
		}
	}
	var delays []float64
	reported := map[string]bool{}
	for _, report := range reports {
		during := report.AtMs >= loss.startMs && report.AtMs <= loss.endMs
		if report.Lost && report.Site == loss.site && during && !reported[report.Broker] {
			reported[report.Broker] = true
			delays = append(delays, report.AtMs-loss.startMs)
		}
	}
	sort.Float64s(delays)
	half := (observers + 1) / 2
	if half == 0 || len(delays) < half {
		return -1
	}
	return delays[half-1]
}
