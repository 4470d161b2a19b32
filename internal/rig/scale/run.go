package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"
)

// RunOptions say what a run measures.
type RunOptions struct {
	Sizes []int // proxies, ascending
	// Most bounds the run's time; what does not fit is left out and named.
	Most time.Duration
	// Binary is the path of the nodes' program; empty: no real processes are started.
	Binary string
	Seed   uint64
	// AskedIndex and Relayed try designs that the nodes do not have: see Options.
	AskedIndex bool
	Relayed    bool
	// NoEvents leaves the index of kept prompts out, NoTroubles losses, ends and cuts.
	NoEvents   bool
	NoTroubles bool
}

// Report is what a run brought.
type Report struct {
	Date      string          `json:"date"`
	GoVersion string          `json:"go"`
	Cores     int             `json:"cores"` // of the machine that measured
	Target    Target          `json:"target"`
	Sizes     []SizeResult    `json:"sizes"`
	Fits      []Fit           `json:"fits"`
	Units     []Unit          `json:"units"` // what single items take
	Real      []RealResult    `json:"real,omitempty"`
	Routing   []RoutingResult `json:"routing"`
	Broken    []string        `json:"broken,omitempty"` // bounds of CheckSlopes
	LeftOut   []string        `json:"leftOut,omitempty"`
}

// memoryShare of the machine's memory may be used: one in memoryShare.
const (
	memoryShare      = 3
	collectorPercent = 200 // as the nodes have it
)

// Run measures all sizes, one after the other, and writes progress and tables to w.
func Run(ctx context.Context, w io.Writer, options RunOptions) (*Report, error) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(machineMemory() / memoryShare)
	report := &Report{
		Date: time.Now().UTC().Format(time.RFC3339), GoVersion: runtime.Version(), Cores: runtime.NumCPU(), Target: TwoYears,
	}
	until := time.Now().Add(options.Most)
	fmt.Fprintln(w, "what single items take:")
	report.Units = Units(report.Target)
	for _, unit := range report.Units {
		unit.Print(w)
	}
	for _, size := range options.Sizes {
		result := RoutingAt(size, report.Target)
		result.Print(w)
		report.Routing = append(report.Routing, result)
	}
	if options.Binary != "" {
		var err error
		if report.Real, err = RunReal(ctx, w, options.Binary, RealCases); err != nil {
			return report, err
		}
	}
	var last time.Duration
	for i, size := range options.Sizes {
		expected := last
		if i > 0 {
			growth := float64(size) / float64(options.Sizes[i-1])
			expected = time.Duration(float64(last) * growth * growth) // as nodes send to all there are
		}
		if time.Now().Add(expected).After(until) {
			report.LeftOut = append(report.LeftOut, fmt.Sprintf("%d proxies: would take about %v", size, expected.Round(time.Second)))
			continue
		}
		began := time.Now()
		result := Measure(ShapeOf(size, TwoYears), Options{Seed: options.Seed, Until: until, AskedIndex: options.AskedIndex, Relayed: options.Relayed}, Phases{Changes: true, Events: !options.NoEvents, Troubles: !options.NoTroubles},
			func(step string) {
				fmt.Fprintf(w, "%6.1f s  %d proxies: %s\n", time.Since(began).Seconds(), size, step)
			})
		last = time.Since(began)
		result.Print(w)
		report.Sizes = append(report.Sizes, result)
	}
	report.Fits = append(RealFits(report.Real), FitAll(report.Sizes, report.Target)...)
	report.Broken = CheckSlopes(report.Sizes, Bounds())
	report.printFits(w)
	return report, nil
}

func (r *Report) printFits(w io.Writer) {
	fmt.Fprintf(w, "\nlines through the sizes, and what they come to at %d proxies:\n", r.Target.Proxies)
	for _, fit := range r.Fits {
		fmt.Fprintf(w, "%-62s %10.4g + %9.4g each  (off by %2.0f%%, power %5.2f)  -> %.4g %s", fit.Metric, fit.Base, fit.Slope,
			100*fit.Error, fit.Power, fit.AtTarget, fit.Unit)
		if fit.Limit > 0 {
			fmt.Fprintf(w, ", %.3g times the limit", fit.Share)
		}
		fmt.Fprintln(w)
	}
	for _, left := range r.LeftOut {
		fmt.Fprintln(w, "left out:", left)
	}
	for _, broken := range r.Broken {
		fmt.Fprintln(w, "grows too fast:", broken)
	}
}

// Write writes the report as JSON.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// machineMemory is the machine's memory in bytes; some, where it is not known.
func machineMemory() int64 {
	const unknown = 4 << 30
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return unknown
	}
	defer func() { _ = file.Close() }()
	var kilobytes int64
	if _, err := fmt.Fscanf(file, "MemTotal: %d kB", &kilobytes); err != nil || kilobytes <= 0 {
		return unknown
	}
	return kilobytes << 10
}
