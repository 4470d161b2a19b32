package scenario

import (
	"math"
	"regexp"
)

const (
	shortLeadS          = 1.5 // before the first fault
	shortTimeFactor     = 0.5 // of all times after it
	shortSizeFactor     = 0.5 // of the servers and the load
	shortBrokersPerSite = 2   // at the most

	shortAnswerSlackMs = 1000 // other processes may run beside it; only the full scenario checks the time of answers
)

// singleInstance matches the name of one broker or server.
var singleInstance = regexp.MustCompile(`^[bs][0-9]+$`)

// Short is the same scenario at half the size and in about a third of the time, with the same faults in the same order, for a run that
// checks the invariants alone: how well it goes only the full one shows. A file that names single brokers or servers keeps its size.
func (f *File) Short() *File {
	g := *f
	g.Name, g.answerSlackMs = f.Name+"-short", shortAnswerSlackMs
	named := false
	for _, l := range f.Timeline {
		named = named || singleInstance.MatchString(l.Target) || singleInstance.MatchString(l.Source) || singleInstance.MatchString(l.Destination)
	}
	first := f.FirstFaultS()
	if math.IsInf(first, 1) {
		first = f.Seconds
	}
	lead := min(first, shortLeadS)
	at := func(s float64) float64 { return lead + (s-first)*shortTimeFactor }
	g.Seconds = math.Ceil(min(at(f.Seconds)+lead, f.Seconds))
	g.Timeline = append([]Fault(nil), f.Timeline...)
	for i := range g.Timeline {
		l := &g.Timeline[i]
		l.AtS = at(l.AtS)
		if l.UntilS > 0 {
			l.UntilS = at(l.UntilS)
		}
		l.DurationS, l.PeriodS, l.SpreadS = l.DurationS*shortTimeFactor, l.PeriodS*shortTimeFactor, l.SpreadS*shortTimeFactor
	}
	g.Discovery.RemovalMs, g.Discovery.ReturnMs = f.Discovery.RemovalMs*shortTimeFactor, f.Discovery.ReturnMs*shortTimeFactor
	g.Expect = Expectations{SettleS: f.Expect.SettleS * shortTimeFactor}
	if named {
		return &g
	}
	g.Sites = append([]Site(nil), f.Sites...)
	servers, brokers, were, size := 0, 0, 0, 1.0
	for _, s := range f.Sites {
		were += s.Servers
		servers += int(math.Ceil(shortSizeFactor * float64(s.Servers)))
		brokers += min(s.Brokers, shortBrokersPerSite)
	}
	if servers >= f.ShardCount { // else a cell would have no server
		for i := range g.Sites {
			g.Sites[i].Servers = int(math.Ceil(shortSizeFactor * float64(f.Sites[i].Servers)))
		}
		size = float64(servers) / float64(were)
	}
	if f.Leases == nil || brokers >= f.Leases.Voters {
		for i := range g.Sites {
			g.Sites[i].Brokers = min(f.Sites[i].Brokers, shortBrokersPerSite)
		}
	}
	g.Types = append([]QueryType(nil), f.Types...)
	for i := range g.Types {
		g.Types[i].RatePerS *= size
	}
	return &g
}
