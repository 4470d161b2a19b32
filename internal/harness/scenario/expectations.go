package scenario

import (
	"fmt"
	"math"
)

// failedExpectations describes the expectations of the file that the report does not meet.
func (run *runner) failedExpectations(r *Report) (failures []string) {
	expect := run.Expect
	fail := func(form string, arguments ...any) { failures = append(failures, fmt.Sprintf(form, arguments...)) }
	for i := range r.Phases {
		if p := &r.Phases[i]; p.Name == "settled" || p.Name == "return" {
			run.checkPhase(r, p, fail)
		}
	}
	if expect.MaxWarmUpLoad != nil && r.MaxWarmUpLoad > *expect.MaxWarmUpLoad {
		fail("a cold server was sent %.2f of what it bears, %.2f is the most", r.MaxWarmUpLoad, *expect.MaxWarmUpLoad)
	}
	if expect.MaxDetectionMs != nil && (r.DetectionMs < 0 || r.DetectionMs > *expect.MaxDetectionMs) {
		fail("half of the brokers held the site to be lost after %.0f ms, %.0f wanted", r.DetectionMs, *expect.MaxDetectionMs)
	}
	if expect.MaxFalseAlarms != nil && r.FalseAlarms > *expect.MaxFalseAlarms {
		fail("%d false alarms, %d allowed", r.FalseAlarms, *expect.MaxFalseAlarms)
	}
	return failures
}

// checkPhase checks the value served in a phase, and in each second of the return.
func (run *runner) checkPhase(r *Report, p *Phase, fail func(form string, arguments ...any)) {
	expect := run.Expect
	if share := p.Value / math.Max(p.Bound, minDivisor); expect.MinValueShare != nil && share < *expect.MinValueShare {
		fail("%s: %.3f of the bound's value, %.3f wanted", p.Name, share, *expect.MinValueShare)
	}
	if expect.MinTopTypeShare != nil && p.TopTypeShare < *expect.MinTopTypeShare {
		fail("%s: %.3f of the bound for the most valued type, %.3f wanted", p.Name, p.TopTypeShare, *expect.MinTopTypeShare)
	}
	if p.Name != "return" || expect.MaxReturnDip == nil {
		return
	}
	for index := int(p.StartS); index < int(p.EndS) && index < len(r.Seconds); index++ {
		if second := r.Seconds[index]; second.Value < (1-*expect.MaxReturnDip)*second.Bound {
			fail("second %d of the return: %.3f of the bound's value", index, second.Value/math.Max(second.Bound, minDivisor))
		}
	}
}
