package scale

import (
	"fmt"
	"runtime"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// SizeResult is what was measured at one size.
type SizeResult struct {
	Shape       Shape             `json:"shape"`
	SettleMs    float64           `json:"settleMs"` // from the start until all know all nodes, brokers and the view
	Quiet       map[Role]RoleRate `json:"quiet"`    // heartbeats alone: no events of kept parts, no changes
	Busy        map[Role]RoleRate `json:"busy"`     // with events of kept parts
	HeapPerNode float64           `json:"heapPerNode"`
	HeapBusy    float64           `json:"heapPerNodeBusy"` // after the events
	Lookups     LookupResult      `json:"lookups"`
	Changes     ChangeResult      `json:"changes"`
	Death       DeathResult       `json:"death"`
	CoreLoss    CoreLossResult    `json:"coreLoss"`
	Brokers     BrokerResult      `json:"brokers"`
	Campaign    CampaignResult    `json:"campaign"`
	Loss        LossResult        `json:"loss"`
	Cut         CutResult         `json:"cut"`
	Zone        ZoneResult        `json:"zone"`
	WallS       float64           `json:"wallS"`
	GCPercent   float64           `json:"gcPercent"` // processor time of the collector's own threads, of all that the nodes took
	Problems    []string          `json:"problems,omitempty"`
}

// ChangeResult is how changes of the configuration spread.
type ChangeResult struct {
	Count         int     `json:"count"`
	FirstBytes    int     `json:"firstBytes"`   // of the whole configuration that was sent first
	FirstLastMs   float64 `json:"firstLastMs"`  // until it was at all nodes
	AckMs         float64 `json:"ackMs"`        // mean time to the acknowledgement
	Everywhere    Spread  `json:"everywhere"`   // of the slowest change
	BytesANode    float64 `json:"bytesANode"`   // that one change makes a node send, beyond the quiet rate
	CPUMsANode    float64 `json:"cpuMsANode"`   // that one change takes a node
	HeadCPUMs     float64 `json:"headCpuMs"`    // that one change takes the head
	JournalBytesA float64 `json:"journalBytes"` // that one change writes at a machine of the core
}

// DeathResult is how the end of a proxy became known.
type DeathResult struct {
	Noticed    Spread  `json:"noticed"`
	BytesANode float64 `json:"bytesANode"` // sent by a node in the time watched, beyond the quiet rate
}

// CoreLossResult is how long changes were not acknowledged after a machine of the core ended.
type CoreLossResult struct {
	MiddleMs float64 `json:"middleMs"`
	HeadMs   float64 `json:"headMs"`
}

// BrokerResult is how the draining of a broker spread.
type BrokerResult struct {
	AckMs         float64 `json:"ackMs"`
	MessagesAHome float64 `json:"messagesAtHome"`
	BytesAHome    float64 `json:"bytesAtHome"`
	BytesANode    float64 `json:"bytesANode"`
}

// CampaignResult is how new weights came to all brokers of a model.
type CampaignResult struct {
	Brokers        int     `json:"brokers"`
	LoadedMs       float64 `json:"loadedMs"` // until all had them
	HeadMessages   float64 `json:"headMessages"`
	HeadBytes      float64 `json:"headBytes"`
	HeadCPUPercent float64 `json:"headCpuPercent"`
	BytesANode     float64 `json:"bytesANode"` // sent by a node over the campaign
}

// LossResult is what false alarms there were while messages got lost.
type LossResult struct {
	Share          float64 `json:"share"`
	SpanS          float64 `json:"spanS"`
	Suspicions     int     `json:"suspicions"`     // at single nodes, of nodes that ran
	Suspected      int     `json:"suspected"`      // different nodes that were suspected
	Deaths         int     `json:"deaths"`         // nodes that ran and were taken off a list
	SilentBrokers  int     `json:"silentBrokers"`  // brokers that were taken for silent
	SentBytesANode float64 `json:"sentBytesANode"` // a second
}

// The spans of the phases, in virtual time.
const (
	settleMost    = 30 * time.Second
	changeSpan    = 4 * time.Second
	changeCount   = 3
	deathSpan     = 20 * time.Second
	coreLossMost  = 15 * time.Second
	drainSpan     = 3 * time.Second
	campaignMost  = 40 * time.Second
	lossShare     = 0.005
	sampleEach    = 500 * time.Millisecond
	submitPause   = 100 * time.Millisecond
	calmAfterLoad = 3 * time.Second
)

// Phases says what is measured, beside the quiet rate. The order is fixed: what disturbs most comes last.
type Phases struct {
	Changes  bool // of the configuration, a broker that drains, new weights
	Events   bool // of kept parts
	Troubles bool // losses, ends and cuts
}

// Measure runs a hollow fleet of a shape through the phases. say is told what is being done; it may be nil.
func Measure(shape Shape, options Options, phases Phases, say func(string)) SizeResult {
	if say == nil {
		say = func(string) {}
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := clocks{wall: time.Now(), process: processTime(), thread: threadTime()}
	before := heapInUse()
	f := NewFleet(shape, options)
	m := &measurement{fleet: f, say: say, until: options.Until, spans: options.Spans.withDefaults(), result: SizeResult{Shape: shape}}
	m.settle()
	m.result.HeapPerNode = float64(heapInUse()-before) / float64(shape.Nodes())
	m.quiet()
	if phases.Changes {
		m.phase("changes of the configuration", m.changes)
		m.phase("a broker drains", m.drain)
		m.phase("new weights of a model", m.campaign)
	}
	if phases.Events {
		m.phase("events of kept parts", m.busy)
		m.result.HeapBusy = float64(heapInUse()-before) / float64(shape.Nodes())
	}
	if phases.Troubles {
		m.phase("messages get lost", m.losses)
		m.phase("a proxy ends", m.death)
		m.phase("two regions are out of contact", m.regionsCut)
		m.phase("machines of the core end", m.coreLoss)
		m.phase("a zone ends", m.zoneLost)
	}
	m.finish(began)
	runtime.KeepAlive(f)
	return m.result
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// measurement takes one fleet through the phases.
type measurement struct {
	fleet   *Fleet
	say     func(string)
	until   time.Time // zero: no bound
	spans   Spans
	result  SizeResult
	version uint64 // of the configuration
}

func (m *measurement) problem(format string, arguments ...any) {
	m.result.Problems = append(m.result.Problems, fmt.Sprintf(format, arguments...))
}

// phase runs a phase, unless the time is over.
func (m *measurement) phase(name string, run func()) {
	if !m.until.IsZero() && time.Now().After(m.until) {
		m.problem("left out, as the time was over: %s", name)
		return
	}
	m.say(name)
	run()
}

// clocks are readings of the three real clocks.
type clocks struct {
	wall            time.Time
	process, thread time.Duration
}

func (m *measurement) finish(began clocks) {
	m.result.WallS = time.Since(began.wall).Seconds()
	var nodes time.Duration
	for _, n := range m.fleet.nodes {
		nodes += n.meter.spent()
	}
	others := processTime() - began.process - (threadTime() - began.thread)
	m.result.GCPercent = 100 * others.Seconds() / max(nodes.Seconds(), 1e-9)
	if m.fleet.unencodable > 0 {
		m.problem("%d messages could not be encoded or read", m.fleet.unencodable)
	}
}

// settle starts the fleet and brings the first configuration.
func (m *measurement) settle() {
	f := m.fleet
	m.say("starting")
	f.Start()
	f.clock.runFor(startWithin)
	if !f.clock.runUntil(settleMost, everyHalfSecond(f, f.agreed)) {
		m.problem("not all nodes knew each other and all brokers after %v", settleMost)
	}
	m.result.SettleMs = milliseconds(f.clock.now)
	body := replaceCommand(configurationOf(f.shape))
	m.result.Changes.FirstBytes = len(body.GetConfigChange().Body)
	spread, _ := m.change(body, settleMost)
	m.result.Changes.FirstLastMs = spread.LastMs
	f.clock.runFor(m.spans.Settle)
}

// everyHalfSecond looks at a condition that takes long to check only now and then.
func everyHalfSecond(f *Fleet, condition func() bool) func() bool {
	next := f.clock.now
	return func() bool {
		if f.clock.now < next {
			return false
		}
		next = f.clock.now + sampleEach
		return condition()
	}
}

func (m *measurement) quiet() {
	m.say("quiet")
	before := m.fleet.read()
	m.fleet.clock.runFor(m.spans.Quiet)
	m.result.Quiet = m.fleet.since(before)
}

func (m *measurement) busy() {
	f := m.fleet
	f.eventsOn = true
	f.startLookups(TwoYears)
	f.clock.runFor(m.spans.BusyWarmUp)
	before, lookups := f.read(), f.lookupCounts()
	f.clock.runFor(m.spans.Busy)
	m.result.Busy = f.since(before)
	m.result.Lookups = f.lookupsSince(lookups, m.spans.Busy)
	f.eventsOn = false
	f.clock.runFor(calmAfterLoad)
}

// submit brings a command in at any node, again until it is taken, and gives the index of its entry and when it was acknowledged.
func (m *measurement) submit(command *nodepb.Command, most time.Duration) (index uint64, acknowledged time.Duration) {
	f := m.fleet
	var taken *nodepb.CommandResult
	var send func()
	send = func() {
		n := f.anyNode()
		n.turn(&n.meter.calls.spent, func(now core.Time) {
			n.submitCommand(now, command, func(_ core.Time, reply core.Reply) {
				if reply.Result.GetCode() == nodepb.ResultCode_TAKEN {
					if taken == nil {
						taken, acknowledged = reply.Result, f.clock.now
					}
					return
				}
				f.clock.after(submitPause, send)
			})
		})
	}
	send()
	f.clock.runUntil(most, func() bool { return taken != nil })
	if taken == nil {
		m.problem("%s was not taken within %v", command.Id, most)
		return 0, f.clock.now
	}
	return taken.Index, acknowledged
}

// change submits a change and waits until it is everywhere.
func (m *measurement) change(command *nodepb.Command, most time.Duration) (Spread, time.Duration) {
	f := m.fleet
	since := f.clock.now
	f.watch.applied = map[*node]time.Duration{}
	f.watch.index = f.newestIndex() + 1
	_, acknowledged := m.submit(command, most)
	running := len(f.running())
	f.clock.runUntil(most, func() bool { return len(f.watch.applied) >= running })
	f.watch.index = 0
	if command.GetConfigChange() != nil {
		m.version = command.GetConfigChange().Version
	}
	return spreadOf(since, f.watch.applied, running), acknowledged - since
}

func (f *Fleet) newestIndex() uint64 {
	newest := uint64(0)
	for _, n := range f.nodes {
		newest = max(newest, n.control.State().Index())
	}
	return newest
}
