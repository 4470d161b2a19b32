package scenario

import (
	"errors"
	"fmt"
	"strings"

	"kestrelspread/internal/harness/links"
)

// requiredKeys are the keys that an entry of the time line needs, by its action.
var requiredKeys = map[string][]string{
	"lose":        {"on"},
	"cut":         {"from", "to"},
	"links":       {"from", "to", "link"},
	"refuse":      {"from", "to"},
	"reset":       {"from", "to"},
	"half-open":   {"from", "to"},
	"slow":        {"on", "times"},
	"mute":        {"on"},
	"fail":        {"on"},
	"kill":        {"on"},
	"stop":        {"on"},
	"freeze-list": {"on"},
	"late-list":   {"on", "ms"},
	"load":        {"times"},
	"lose-disk":   {"on"},
}

// validator collects what is wrong with a file. Each error names a path.
type validator struct {
	file      *File
	siteNames map[string]bool
	errs      []error
}

// check checks what the schema can't express.
func (f *File) check() error {
	v := &validator{file: f, siteNames: map[string]bool{}}
	v.checkSites()
	v.checkTypes()
	for i := range f.Timeline {
		v.checkFault(i, &f.Timeline[i])
	}
	return errors.Join(v.errs...)
}

// report adds an error.
func (v *validator) report(form string, arguments ...any) {
	v.errs = append(v.errs, fmt.Errorf(form, arguments...))
}

// checkSites checks the sites, and the numbers that depend on their sizes.
func (v *validator) checkSites() {
	servers, brokers, load := 0, 0, 0.0
	for i, s := range v.file.Sites {
		if v.siteNames[s.Name] {
			v.report("/sites/%d/name: there are two", i)
		}
		v.siteNames[s.Name] = true
		servers += s.Servers
		brokers += s.Brokers
		load += *s.Load
	}
	if servers == 0 || brokers == 0 || load == 0 {
		v.report("/sites: no server, no broker or no load")
	}
	if leases := v.file.Leases; leases != nil && leases.Voters > brokers {
		v.report("/owners/voters: more than brokers")
	}
	if v.file.ShardCount > servers {
		v.report("/places: more than servers")
	}
	if v.file.ReplicaCount > v.file.ShardCount {
		v.report("/copies: more than places")
	}
}

// checkTypes checks the query types.
func (v *validator) checkTypes() {
	for i, t := range v.file.Types {
		if t.ShardsPerQuery > v.file.ShardCount {
			v.report("/types/%d/parts: more than places", i)
		}
		if t.TargetMs > t.TimeoutMs {
			v.report("/types/%d/target-ms: over the time-out", i)
		}
	}
}

// checkFault checks one entry of the time line.
func (v *validator) checkFault(index int, fault *Fault) {
	present := map[string]bool{
		"on":    fault.Target != "",
		"from":  fault.Source != "",
		"to":    fault.Destination != "",
		"times": fault.Factor > 0,
		"ms":    fault.DelayMs > 0,
		"link":  fault.Conditions != links.Conditions{},
	}
	for _, key := range requiredKeys[fault.Action] {
		if !present[key] {
			v.report("/line/%d: %s needs %s", index, fault.Action, key)
		}
	}
	for _, pattern := range []string{fault.Target, fault.Source, fault.Destination} {
		if _, site, hasSite := strings.Cut(pattern, "@"); hasSite && !v.siteNames[site] {
			v.report("/line/%d: no site %q", index, site)
		}
	}
	if fault.PeriodS > 0 && (fault.UntilS <= fault.AtS || fault.DurationS <= 0 || fault.DurationS >= fault.PeriodS) {
		v.report("/line/%d: every-s needs until-s after at-s, and for-s under every-s", index)
	}
	if (fault.Action == "sleep-owner" || fault.Action == "lose-disk") && v.file.Leases == nil {
		v.report("/line/%d/do: there are no owners", index)
	}
	if fault.Action == "lose" && !strings.HasPrefix(fault.Target, "@") {
		v.report("/line/%d/on: a site is lost, @NAME", index)
	}
}
