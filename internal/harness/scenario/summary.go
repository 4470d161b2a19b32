package scenario

import (
	"fmt"
	"math"
)

// printProgress prints the counts of the last complete second.
func (run *runner) printProgress() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	at := int(run.now()/1000) - 1
	line := ""
	for i, t := range run.Types {
		s := run.counts.sum(i, at-1, at)
		line += fmt.Sprintf("  %s %d of %d in time, %d shed", t.Name, s.InTime, s.Offered, s.Shed+s.NoBroker)
	}
	run.options.Printf("%8.3f s%s", run.now()/1000, line)
}

// report evaluates the run.
func (run *runner) report() *Report {
	for site := range run.siteLostSinceMs {
		run.recordSiteLoss(site, false, false)
	}
	bounds := run.upperBounds()
	run.mutex.Lock()
	defer run.mutex.Unlock()
	r := &Report{Name: run.Name, Description: run.Description, Policy: run.options.Policy, DetectionMs: -1}
	r.Violations = append(r.Violations, run.invariants.Check(run.now()+1e6)...)
	for i, t := range run.Types {
		r.Types = append(r.Types, TypeReport{t.Name, run.counts.sum(i, 0, math.MaxInt), run.counts.quantile(i, 50), run.counts.quantile(i, 99)})
	}
	run.addSeconds(r, bounds, run.addServers(r))
	run.addPhases(r, bounds)
	run.addGossipBytes(r)
	if run.leases != nil {
		r.Leases = run.leases.report()
		for _, violation := range r.Leases.Violations {
			r.Violations = append(r.Violations, "owners: "+violation)
		}
	}
	run.collectSiteReports(r)
	r.FailedExpectations = run.failedExpectations(r)
	return r
}

// addServers adds what each server received, and returns its load by second: received requests per capacity.
func (run *runner) addServers(r *Report) (loads [][]float64) {
	for _, s := range run.servers {
		report := ServerReport{Name: s.Name, Site: run.Sites[s.Site].Name}
		var bySecond []float64
		for _, second := range s.model.Seconds() {
			report.Received += second.Received
			report.Rejected += second.Rejected
			load := float64(second.Received) / math.Max(second.Capacity, minDivisor)
			bySecond = append(bySecond, load)
			report.MaxLoad = max(report.MaxLoad, load)
		}
		loads = append(loads, bySecond)
		r.Servers = append(r.Servers, report)
		_, warmUpLoad := s.model.WarmUpOverloads()
		r.MaxWarmUpLoad = max(r.MaxWarmUpLoad, warmUpLoad)
	}
	return loads
}

// minDivisor keeps ratios finite.
const minDivisor = 1e-9

// addSeconds adds the value of each second, and its bound for what was really offered in that second.
func (run *runner) addSeconds(r *Report, bounds, serverLoads [][]float64) {
	for index := range int(run.Seconds) {
		second := Second{}
		for kind := range run.Types {
			tally := run.counts.sum(kind, index, index+1)
			second.Tally = append(second.Tally, tally)
			second.Value += tally.Value
			second.Bound += bounds[index][kind] * float64(tally.Offered) * run.Types[kind].Value
		}
		for _, bySecond := range serverLoads {
			if index < len(bySecond) {
				second.MaxServerLoad = max(second.MaxServerLoad, bySecond[index])
			}
		}
		r.Seconds = append(r.Seconds, second)
	}
}

// topType is the most valued query type.
func (run *runner) topType() int {
	top := 0
	for i, t := range run.Types {
		if t.Value > run.Types[top].Value {
			top = i
		}
	}
	return top
}

// faultSpan is when the first fault starts and the last one ends, in s.
func (run *runner) faultSpan() (startS, endS float64) {
	startS = run.FirstFaultS()
	if math.IsInf(startS, 1) {
		startS = run.Seconds
	}
	endS = startS
	for _, fault := range run.Timeline {
		untilS := fault.AtS + fault.DurationS
		if fault.DurationS == 0 {
			untilS = run.Seconds
		}
		if fault.PeriodS > 0 {
			untilS = fault.UntilS
		}
		endS = max(endS, min(untilS+fault.SpreadS, run.Seconds))
	}
	return startS, endS
}

// addPhases adds the phases before, during and after the faults.
func (run *runner) addPhases(r *Report, bounds [][]float64) {
	startS, endS := run.faultSpan()
	run.addPhase(r, bounds, "before", 0, startS)
	run.addPhase(r, bounds, "first seconds", startS, min(startS+run.Expect.SettleS, endS))
	run.addPhase(r, bounds, "settled", startS+run.Expect.SettleS, endS)
	run.addPhase(r, bounds, "return", endS, run.Seconds)
}

// addPhase adds a phase of complete seconds, if it has any.
func (run *runner) addPhase(r *Report, bounds [][]float64, name string, startS, endS float64) {
	startS, endS = math.Ceil(startS), math.Floor(endS)
	if endS <= startS {
		return
	}
	p := Phase{Name: name, StartS: startS, EndS: endS}
	top := run.topType()
	for kind := range run.Types {
		tally := run.counts.sum(kind, int(startS), int(endS))
		p.ServedShares = append(p.ServedShares, float64(tally.InTime)/math.Max(float64(tally.Offered), 1))
		if kind == top {
			servable := 0.0
			for second := int(startS); second < int(endS); second++ {
				servable += bounds[second][kind] * float64(run.counts.sum(kind, second, second+1).Offered)
			}
			p.TopTypeShare = float64(tally.InTime) / math.Max(servable, 1)
		}
	}
	for second := int(startS); second < int(endS) && second < len(r.Seconds); second++ {
		p.Value += r.Seconds[second].Value
		p.Bound += r.Seconds[second].Bound
	}
	r.Phases = append(r.Phases, p)
}

// addGossipBytes adds up the bytes between brokers.
func (run *runner) addGossipBytes(r *Report) {
	for _, source := range run.brokers {
		for _, destination := range run.brokers {
			_, forward, _ := run.network.Stats(source.name, destination.name)
			r.GossipBytes += forward
		}
	}
}
