package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kestrelspread/internal/aggregator/extensions"
	aggregator "kestrelspread/internal/aggregator/server"
)

// TestMain runs a broker if the test program is started as one: scenarios have several processes.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "broker" {
		var parts []aggregator.Extension
		if len(os.Args) > 3 && os.Args[2] == "--operator" {
			parts = append(parts, extensions.Extension(os.Args[3]))
		}
		if err := aggregator.Run(os.Stderr, parts...); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

const smallFile = `{"name":"small","says":"a site is lost, and brokers with it","seed":3,"seconds":7,
 "sites":[{"name":"north","servers":4,"brokers":2},{"name":"mid","servers":4,"brokers":2},{"name":"south","servers":4,"brokers":2}],
 "places":6,"copies":2,"servers":{"slots":2,"work-ms":10,"cold":{"share":0.4,"ms":2000,"multiple":2.5,"over-ms":1000}},
 "types":[{"name":"quick","per-s":40,"parts":3,"target-ms":400,"timeout-ms":1500,"value":3},
  {"name":"post","per-s":20,"parts":1,"target-ms":400,"timeout-ms":1500,"effect":"non-idempotent"},
  {"name":"bulk","per-s":20,"parts":4,"target-ms":800,"timeout-ms":2000,"floor":0.5}],
 "links":{"within":{"delay-ms":0.2},"between":{"delay-ms":1}},
 "line":[%s]}`

// readFile reads the small scenario with a time line.
func readFile(t *testing.T, line string) *File {
	t.Helper()
	f, err := Read([]byte(fmt.Sprintf(smallFile, line)))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// memoryDir is a file system in memory, if the machine has one.
const memoryDir = "/dev/shm"

// diskDir creates a directory for the disks of processes, in memory if possible: a busy disk takes up to seconds for a sync, which would be
// a fault that the test does not inject. Faulty disks have tests of their own.
func diskDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir, "scenario")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// runScenario runs a scenario, requires that no rule is broken, and checks the counts.
func runScenario(t *testing.T, f *File) *Report {
	t.Helper()
	dir := diskDir(t)
	r, err := Play(context.Background(), f, Options{Program: []string{os.Args[0], "broker"}, Dir: dir, Printf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		t.Error(b)
	}
	var out strings.Builder
	r.Print(&out)
	t.Log(out.String())
	for _, k := range r.Types {
		if k.Offered == 0 || k.InTime+k.Late+k.Shed+k.Errored+k.NoBroker != k.Offered {
			t.Errorf("%s: %d offered, and these ends: %+v", k.Name, k.Offered, k.Tally)
		}
	}
	return r
}

// requireServed requires a share of a query type to be answered. It is low enough for a busy machine.
func requireServed(t *testing.T, r *Report, kind int, minShare float64) {
	t.Helper()
	k := r.Types[kind]
	if share := float64(k.InTime+k.Late) / float64(k.Offered); share < minShare {
		t.Errorf("%s: %.2f answered, %.2f wanted", k.Name, share, minShare)
	}
}

func TestSiteLossAndReturnWithWarmUp(t *testing.T) {
	r := runScenario(t, readFile(t, `{"at-s":2,"for-s":2.5,"do":"lose","on":"@south"}`))
	requireServed(t, r, 0, 0.7)
	if r.MaxWarmUpLoad > 1 {
		t.Errorf("a cold server was sent %.2f of what it bears", r.MaxWarmUpLoad)
	}
	before, lost := 0, 0
	for _, s := range r.Servers {
		if s.Site == "south" {
			before += s.Received
		}
	}
	if before == 0 {
		t.Error("nothing ever went to the lost site: nothing was tested")
	}
	for _, k := range r.Types {
		lost += k.Errored
	}
	t.Log(lost, "errored in all")
}

func TestPartitionOfAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes for seconds")
	}
	r := runScenario(t, readFile(t, `{"at-s":2,"for-s":2.5,"do":"cut","from":"@north","to":"@south","way":"back"},{"at-s":2,"for-s":2.5,"do":"cut","from":"@mid","to":"@south","way":"back"}`))
	requireServed(t, r, 0, 0.7)
}

func TestBrokerAndServerFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes for seconds")
	}
	r := runScenario(t, readFile(t, `{"at-s":1.5,"for-s":1.5,"do":"stop","on":"brokers@north","share":0.5},{"at-s":3,"for-s":1,"do":"kill","on":"brokers@mid","share":0.5},
	 {"at-s":2,"for-s":2,"do":"kill","on":"servers@south","share":0.5},{"at-s":4.5,"do":"reset","from":"*","to":"@south"},{"at-s":2,"for-s":2,"do":"freeze-list","on":"servers@south"},
	 {"at-s":2,"for-s":1,"do":"links","from":"@north","to":"@mid","link":{"delay-ms":5,"loss":0.1}}`))
	requireServed(t, r, 0, 0.6)
}

func TestBrokersGossipDuringSiteLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes for seconds")
	}
	f := readFile(t, `{"at-s":2,"for-s":3,"do":"cut","from":"*","to":"@south"}`)
	f.Gossip = true
	r := runScenario(t, f)
	requireServed(t, r, 0, 0.6)
	talking := 0
	for _, b := range r.Logs {
		if strings.Contains(b, "talking to other brokers") {
			talking++
		}
	}
	if talking != 6 {
		t.Errorf("%d brokers talk", talking)
	}
	if r.GossipBytes == 0 {
		t.Error("no gossip passes the links: no partition would affect it")
	}
}

// The demand on the survivors exceeds their capacity: brokers detect that by its effects, and shed the least valued queries for it.
func TestOverloadShedsLeastValuedFirst(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes for seconds")
	}
	f := readFile(t, `{"at-s":2,"for-s":6,"do":"lose","on":"@south"}`)
	f.Seconds, f.Servers.WorkMs, f.Servers.QueueLength = 9, 20, 20
	f.Types[0].RatePerS, f.Types[1].RatePerS, f.Types[2].RatePerS = 60, 5, 260
	f.Operator = map[string]any{"sites": map[string]any{"borne": true}}
	r := runScenario(t, f)
	reporting := 0
	for _, b := range r.Logs {
		if strings.Contains(b, "servers bear 0.") || strings.Contains(b, "shed: borne") {
			reporting++
		}
	}
	if reporting == 0 {
		t.Error("no broker noticed")
	}
	quick, bulk := r.Types[0], r.Types[2]
	if a, b := float64(quick.Shed)/float64(quick.Offered), float64(bulk.Shed)/float64(bulk.Offered); a > b+0.15 { // by how much it is less is for the virtual clock to tell (package fleetsim)
		t.Errorf("%.2f of the most valued are refused, %.2f of the least valued", a, b)
	}
}

func TestScheduleIsDeterministic(t *testing.T) {
	line := `{"at-s":1,"for-s":0.5,"do":"kill","on":"brokers@north","spread-s":3},{"at-s":2,"for-s":0.4,"do":"cut","from":"*","to":"@south","every-s":1,"until-s":5}`
	who := func(p string, _ float64) []string { return []string{p + "-a", p + "-b"} }
	one, two := fmt.Sprint(readFile(t, line).Schedule(who)), fmt.Sprint(readFile(t, line).Schedule(who))
	if one != two {
		t.Fatal("schedules differ")
	}
	if steps := readFile(t, line).Schedule(who); len(steps) != 4+2*3 {
		t.Fatal(len(steps), steps)
	}
	other := readFile(t, line)
	other.Seed++
	if fmt.Sprint(other.Schedule(who)) == one {
		t.Fatal("the seed changes nothing")
	}
}

func TestReadRejectsInvalidFiles(t *testing.T) {
	for line, want := range map[string]string{
		`{"at-s":1,"do":"lose","on":"@nowhere"}`:                                "no site",
		`{"at-s":1,"do":"lose","on":"b1"}`:                                      "/line/0/on",
		`{"at-s":1,"do":"cut","from":"@north"}`:                                 "needs to",
		`{"at-s":1,"do":"dance"}`:                                               "/line/0/do",
		`{"at-s":-1,"do":"lose","on":"@north"}`:                                 "/line/0/at-s",
		`{"at-s":1,"do":"slow","on":"servers@north"}`:                           "needs times",
		`{"at-s":1,"do":"cut","from":"*","to":"*","every-s":1,"until-s":3}`:     "for-s under every-s",
		`{"at-s":1,"do":"links","from":"*","to":"@mid","link":{"loss":2}}`:      "loss",
		`{"at-s":1,"do":"lose","on":"@north","colour":"blue"}`:                  "colour",
		`{"at-s":1,"do":"slow","on":"servers@north","times":10,"share":1.5}`:    "share",
		`{"at-s":1,"do":"links","from":"*","to":"@mid","link":{"delay-ms":-3}}`: "delay-ms",
		`{"at-s":1,"do":"freeze-list"}`:                                         "needs on",
		`{"at-s":1,"do":"load"}`:                                                "needs times",
		`{"at-s":1,"do":"late-list","on":"brokers@mid"}`:                        "needs ms",
		`{"at-s":1,"for-s":3,"do":"mute","on":"@mid","every-s":2,"until-s":9}`:  "for-s under every-s",
		`{"at-s":1,"do":"half-open","from":"b0"}`:                               "needs to",
		`{"at-s":1,"do":"refuse","from":"b0","to":"@sou"}`:                      "no site",
		`{"at-s":"soon","do":"lose","on":"@north"}`:                             "/line/0/at-s",
		`{"at-s":1,"for-s":0,"do":"lose","on":"@north"}`:                        "for-s",
		`{"at-s":1,"do":"cut","from":"*","to":"@south","way":"sideways"}`:       "way",
	} {
		if _, err := Read([]byte(fmt.Sprintf(smallFile, line))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", line, err, want)
		}
	}
}

func TestPublishedScenariosAreValid(t *testing.T) {
	files, _ := filepath.Glob("../../../scenarios/*.json")
	if len(files) < 12 {
		t.Fatal("only", len(files))
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Read(text)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if f.Name+".json" != filepath.Base(file) {
			t.Error(file, "is called", f.Name)
		}
		brokers, servers := 0, 0
		for _, s := range f.Sites {
			brokers, servers = brokers+s.Brokers, servers+s.Servers
		}
		if brokers < 12 || servers < 24 {
			t.Errorf("%s: %d brokers, %d servers", file, brokers, servers)
		}
		// Its short form is as sound, has the same faults, and each still begins and ends within the run.
		g := f.Short()
		if err := g.check(); err != nil {
			t.Errorf("%s, short: %v", file, err)
		}
		for _, s := range g.Schedule(func(p string, _ float64) []string { return []string{p} }) {
			if s.AtS < 0 || s.AtS > g.Seconds {
				t.Errorf("%s, short: %v of %v s", file, s, g.Seconds)
			}
		}
		if g.Seconds > 0.6*f.Seconds+2 || len(g.Timeline) != len(f.Timeline) {
			t.Errorf("%s, short: %v s, %d faults", file, g.Seconds, len(g.Timeline))
		}
		if _, err := f.Fleet().AllLosses(); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// A report that fails every expectation, and one that fails none.
func TestFailedExpectationsAreReported(t *testing.T) {
	f := readFile(t, `{"at-s":2,"for-s":2.5,"do":"lose","on":"@south"}`)
	one, none := 1.0, 0
	f.Expect = Expectations{MinTopTypeShare: &one, MinValueShare: &one, MaxReturnDip: new(float64), MaxWarmUpLoad: &one, MaxDetectionMs: &one, MaxFalseAlarms: &none}
	run := &runner{File: f}
	r := &Report{DetectionMs: -1, FalseAlarms: 1, MaxWarmUpLoad: 1.1, Phases: []Phase{{Name: "settled", StartS: 4, EndS: 5, Value: 0.9, Bound: 1, TopTypeShare: 0.5}, {Name: "return", StartS: 5, EndS: 6, Value: 1, Bound: 1, TopTypeShare: 1}},
		Seconds: []Second{5: {Value: 0.5, Bound: 1}}}
	if missed := run.failedExpectations(r); len(missed) != 6 {
		t.Fatal(len(missed), missed)
	}
	good := &Report{DetectionMs: 0.5, MaxWarmUpLoad: 0.9, Phases: []Phase{{Name: "settled", Value: 1, Bound: 1, TopTypeShare: 1}}}
	if missed := run.failedExpectations(good); len(missed) != 0 {
		t.Fatal(missed)
	}
}

func TestPlotWritesAFile(t *testing.T) {
	r := &Report{Name: "x", Seconds: []Second{{Value: 1, Bound: 2}, {Value: 2, Bound: 2}}}
	file := filepath.Join(t.TempDir(), "x.svg")
	if err := Plot(file, r, &Report{Policy: "plain", Seconds: r.Seconds}); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(file); !strings.Contains(string(text), "<svg") {
		t.Fatal("no drawing")
	}
}

const leaseFile = `{"name":"owned","says":"the fleet's work while brokers are in trouble","seed":5,"seconds":%d,
 "sites":[{"name":"north","servers":2,"brokers":3},{"name":"mid","servers":2,"brokers":3},{"name":"south","servers":2,"brokers":3}],
 "places":3,"copies":2,"servers":{"slots":2,"work-ms":5},"types":[{"name":"quick","per-s":30,"parts":2,"target-ms":500,"timeout-ms":2000}],
 "owners":{"voters":5,"duties":12,"lease-ms":600,"every-ms":30},"line":[%s]}`

// runLeaseScenario runs a scenario with leases, and requires all roles to be active to the end.
func runLeaseScenario(t *testing.T, seconds int, line string) *Report {
	t.Helper()
	if testing.Short() {
		t.Skip("several processes for seconds")
	}
	f, err := Read([]byte(fmt.Sprintf(leaseFile, seconds, line)))
	if err != nil {
		t.Fatal(err)
	}
	r := runScenario(t, f)
	requireServed(t, r, 0, 0.9)
	if r.Leases.ActiveRoles != 12 {
		t.Errorf("%d of 12 duties were ever done", r.Leases.ActiveRoles)
	}
	if len(r.Leases.Stalled) > 0 {
		t.Errorf("stand still at the end, with all well again: %v", r.Leases.Stalled)
	}
	return r
}

// Holders are stopped with an effect in flight, and both resume when others have taken over.
func TestResumedHoldersAreFenced(t *testing.T) {
	r := runLeaseScenario(t, 14, `{"at-s":3,"for-s":2,"do":"sleep-owner","every-s":2.5,"until-s":11}`)
	if r.Leases.Takeovers < 4 || r.Leases.Refused == 0 {
		t.Errorf("%d take-overs, %d effects of old owners refused: nothing was tested", r.Leases.Takeovers, r.Leases.Refused)
	}
}

// A site is lost and returns, and one holder paces its return: the published share rises in steps from zero to the full one, also if
// brokers are killed meanwhile and another one takes over.
func TestHolderPacesReturnOfSite(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes for seconds")
	}
	f, err := Read([]byte(fmt.Sprintf(leaseFile, 16, `{"at-s":3,"for-s":3,"do":"cut","from":"*","to":"@south"},{"at-s":7.5,"for-s":0.5,"do":"kill","on":"brokers@north"}`)))
	if err != nil {
		t.Fatal(err)
	}
	f.Gossip, f.Leases.PacesReturn = true, true
	f.Types[0].RatePerS = 150 // each broker has to see enough of the site to tell
	r := runScenario(t, f)
	steps, last := 0, 0.0
	for _, s := range r.Leases.ReturnStages {
		t.Logf("%6.0f ms: site %d at %.2f", s.AtMs, s.Site, s.Share)
		if s.Site == 2 && s.Share > 0 && s.Share < 1 {
			steps++
		}
		if s.Site == 2 {
			last = s.Share
		}
	}
	if steps < 1 || last < 1 {
		t.Errorf("%d steps of the return were published, the last is %.2f", steps, last)
	}
	paced := 0
	for _, log := range r.Logs {
		if strings.Contains(log, "returning after returning") {
			paced++
		}
	}
	t.Log(paced, "brokers were slowed down by the fleet's stage") // what one makes of it is tested in package site
}

// All voters are killed at once and restart one by one; one loses its disk; a site is partitioned with a holder and a voter; links flap
// twice a lease. Afterwards all roles continue.
func TestRolesContinueAfterVoterFaults(t *testing.T) {
	r := runLeaseScenario(t, 24, `{"at-s":3,"for-s":1,"do":"kill","on":"b0"},{"at-s":3,"for-s":1.5,"do":"kill","on":"b1"},{"at-s":3,"for-s":2,"do":"kill","on":"b3"},
	 {"at-s":3,"for-s":2.2,"do":"kill","on":"b5"},{"at-s":3,"for-s":2.4,"do":"kill","on":"b7"},
	 {"at-s":8,"for-s":0.5,"do":"lose-disk","on":"b3"},
	 {"at-s":11,"for-s":3,"do":"cut","from":"@south","to":"@north","way":"there"},{"at-s":11,"for-s":3,"do":"cut","from":"@south","to":"@mid","way":"there"},
	 {"at-s":15,"for-s":0.3,"do":"cut","from":"@north","to":"@mid","every-s":0.6,"until-s":17.5}`)
	if r.Leases.Takeovers < 5 {
		t.Errorf("%d take-overs: nothing was tested", r.Leases.Takeovers)
	}
}
