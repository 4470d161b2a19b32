package faultrun

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/control"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/journal/diskfault"
	"kestrelspread/internal/node/nodepb"
)

const (
	diskRetryInterval = 500 * time.Millisecond
	maxTimerLateness  = 3 * time.Millisecond
	maxStepsOfKill    = 5 // steps that a write in flight may still take at a disk as its process is killed
)

// Streams of the random sources that are seeded by the run's.
const (
	diskStream = 11
	nodeStream = 12
)

// machine is one machine: its disk and, while it runs, one incarnation of its process.
type machine struct {
	sim     *simulation
	name    string
	address string
	zone    string
	isCore  bool

	incarnation     int
	running         bool
	removed         bool // for good
	beingReplaced   bool // its replacement is there already
	bootstrap       bool // the setting, for the first start
	startedAt       time.Duration
	frozenUntil     time.Duration
	node            *control.Node
	timerGeneration int // timers of older generations do nothing
	wakeAt          core.Time

	diskModel      DiskModel
	disk           *diskfault.Disk
	journal        *journal.Journal
	syncDuration   time.Duration
	diskHangsUntil time.Duration
	writeInFlight  *core.Write // nil: none
	brokersOnDisk  savedBrokers

	faultChangedAt         time.Duration // when a fault last started or ended
	unavailableSince       time.Duration // when the first order came that it has answered 503 with none acknowledged since
	disturbedAt            time.Duration // the same of faults of the machine itself, without those of its links
	activeFaults           int           // how many last
	lastRequest            uint64
	pendingReplies         map[uint64]func(core.Reply)
	pendingRegistryReplies map[uint64]func(core.RegistryReply)
	stateIndex             uint64 // of its last state, in this incarnation
}

// nodeID names one incarnation of the process.
func (m *machine) nodeID() string { return fmt.Sprintf("%s/%d", m.name, m.incarnation) }

// controlAddress is the address that brokers send heartbeats to.
func (m *machine) controlAddress() string { return m.name + ":2" }

// soundSyncDuration is the mean time of a write while the disk has no fault.
func (m *machine) soundSyncDuration() time.Duration {
	return m.sim.plan.SyncDuration + m.diskModel.Slowness
}

// newDisk gives the machine an empty disk.
func (m *machine) newDisk() {
	sim := m.sim
	m.disk = diskfault.New(rand.New(rand.NewPCG(sim.random.Uint64(), diskStream)))
	m.syncDuration = m.soundSyncDuration()
	m.diskHangsUntil = 0
	m.brokersOnDisk = newSavedBrokers()
	sim.diskCount++
}

// recordFault records that a fault of the machine starts or ends now.
func (m *machine) recordFault() { m.faultChangedAt = m.sim.now }

// beginFault starts a fault that lasts until end is called.
func (m *machine) beginFault() (end func()) {
	m.activeFaults++
	m.recordFault()
	m.recordDisturbance()
	if m.isCore {
		m.sim.health.recordCoreFault()
	}
	return func() {
		m.activeFaults--
		m.recordFault()
		m.recordDisturbance()
		if m.isCore {
			m.sim.health.recordCoreFault()
		}
	}
}

// now is the monotonic time of the process.
func (m *machine) now() core.Time { return m.sim.now - m.startedAt }

// start begins an incarnation of the process, unless one runs.
func (m *machine) start() {
	if m.running || m.removed {
		return
	}
	sim := m.sim
	m.resetProcess()
	m.recordFault()
	m.recordDisturbance()
	if m.isCore {
		sim.health.recordCoreFault()
	}
	sim.logf("start %s incarnation %d", m.name, m.incarnation)
	m.node = control.New(0, m.nodeOptions(), rand.New(rand.NewPCG(sim.random.Uint64(), nodeStream)))
	m.bootstrap = false
	if m.isCore {
		m.openDisk(m.incarnation)
	}
	m.armTimer()
}

// resetProcess sets what belongs to one incarnation to that of a new one.
func (m *machine) resetProcess() {
	m.incarnation++
	m.running = true
	m.startedAt = m.sim.now
	m.frozenUntil = 0
	m.timerGeneration++
	m.wakeAt = core.Never
	m.journal = nil
	m.writeInFlight = nil
	m.pendingReplies = map[uint64]func(core.Reply){}
	m.pendingRegistryReplies = map[uint64]func(core.RegistryReply){}
	m.stateIndex = 0
}

// nodeOptions are the settings of the process.
func (m *machine) nodeOptions() control.Options {
	sim := m.sim
	return control.Options{
		Self: &nodepb.Member{
			NodeId: m.nodeID(), Name: m.name, Address: m.address, ControlAddress: m.controlAddress(), Zone: m.zone, Region: "r",
			CountsForQuorum: m.isCore, ServesFront: true, Incarnation: 1,
		},
		Seeds:                 slices.Clone(sim.seeds),
		Bootstrap:             m.bootstrap,
		FaultTolerance:        sim.plan.Tolerance,
		MaxConfigurationBytes: int(journal.LargestState(m.diskModel.Bytes)),
		Checker:               acceptAllChecker{},
		HeartbeatInterval:     heartbeatInterval,
		PersistsLeaving:       m.isCore,
		Bounds: control.Bounds{
			Contact: contactTimeout, GlobalRevocation: sim.plan.GlobalRevocation, Revoke: revokeTimeout, Lease: leaseDuration,
			Thaw: thawGrace, Version: versionTimeout,
		},
	}
}

// openDisk opens the journal and attaches it to the node, with retries while the disk can't be read or written.
func (m *machine) openDisk(incarnation int) {
	sim := m.sim
	sim.schedule(max(sim.now+m.syncDuration, m.diskHangsUntil), func() {
		if m.incarnation != incarnation || !m.running {
			return
		}
		opened, records, err := journal.Open(journal.Options{
			Dir: "/data", MaxBytes: m.diskModel.Bytes, FileSystem: m.disk, Random: randomReader{sim.random},
		})
		if err == nil && !opened.Healthy() {
			err = opened.Append(nil)
		}
		if err != nil {
			sim.after(diskRetryInterval, func() { m.openDisk(incarnation) })
			return
		}
		m.step(func(now core.Time) { m.attach(now, opened, records) })
	})
}

// randomReader reads bytes from a random source.
type randomReader struct{ random *rand.Rand }

// Read implements io.Reader; it never fails.
func (r randomReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.random.Uint32())
	}
	return len(b), nil
}

// attach hands the journal's records to the node.
func (m *machine) attach(now core.Time, opened *journal.Journal, records []core.Record) {
	outputs, err := m.node.AttachStore(now, opened.Identity(), records)
	if err != nil {
		m.sim.fail("%s can't attach its journal: %v", m.name, err)
		return
	}
	m.journal = opened
	m.restoreBrokers(now)
	m.copyBrokers(m.incarnation)
	m.sim.logf("%s: disk attached, %d records", m.name, len(records))
	m.execute(outputs)
}

// step runs one step of the process and what follows from it: at once, or when it is no longer frozen.
func (m *machine) step(run func(now core.Time)) {
	sim := m.sim
	if !m.running {
		return
	}
	if m.frozenUntil > sim.now {
		incarnation := m.incarnation
		sim.schedule(m.frozenUntil, func() {
			if m.incarnation == incarnation {
				m.step(run)
			}
		})
		return
	}
	run(m.now())
	m.execute(m.node.Tick(m.now()))
	m.armTimer()
}

// armTimer sets the timer to the node's next deadline.
func (m *machine) armTimer() {
	deadline := m.node.Deadline()
	if deadline == m.wakeAt || deadline == core.Never {
		return
	}
	sim := m.sim
	m.wakeAt = deadline
	m.timerGeneration++
	generation, incarnation := m.timerGeneration, m.incarnation
	lateness := time.Duration(sim.random.Int64N(int64(maxTimerLateness)))
	sim.schedule(max(m.startedAt+deadline, sim.now)+lateness, func() {
		if m.timerGeneration == generation && m.incarnation == incarnation {
			m.wakeAt = core.Never
			m.step(func(core.Time) {})
		}
	})
}

// execute carries out the outputs of the node, in their order.
func (m *machine) execute(outputs []core.Output) {
	sim := m.sim
	for _, output := range outputs {
		switch output := output.(type) {
		case core.Send:
			sim.network.send(m, output.Destination, output.Message)
		case core.Write:
			m.write(output)
		case core.Reply:
			if reply := m.pendingReplies[output.Request]; reply != nil {
				delete(m.pendingReplies, output.Request)
				reply(output)
			}
		case core.RegistryReply:
			if answer := m.pendingRegistryReplies[output.Request]; answer != nil {
				delete(m.pendingRegistryReplies, output.Request)
				answer(output)
			}
		case core.SaveLeaving:
			m.saveLeaving(output)
		case core.StateChanged:
			sim.checks.stateChanged(m)
		case core.SendOrder:
			sim.deliverOrder(m, output)
		case core.FetchReport:
			sim.deliverReport(m, output)
		case core.Log:
			sim.logf("%s: %s %v", m.name, output.Message, output.Fields)
		}
	}
}

// write starts a write to the disk; the node is notified of its end.
func (m *machine) write(write core.Write) {
	sim := m.sim
	if m.writeInFlight != nil {
		sim.fail("%s: a write while another is in flight", m.name)
	}
	m.writeInFlight = &write
	incarnation := m.incarnation
	duration := m.syncDuration/2 + time.Duration(sim.random.Int64N(int64(m.syncDuration)+1))
	sim.schedule(max(sim.now+duration, m.diskHangsUntil), func() {
		if m.incarnation == incarnation && m.running && m.writeInFlight == &write {
			m.completeWrite()
		}
	})
}

// completeWrite performs the write in flight and notifies the node.
func (m *machine) completeWrite() {
	write := m.writeInFlight
	m.writeInFlight = nil
	err := m.writeToDisk(write)
	needsCheckpoint := m.journal.NeedsCheckpoint()
	m.step(func(now core.Time) { m.execute(m.node.Written(now, write.Token, err, needsCheckpoint)) })
}

// writeToDisk performs a write.
func (m *machine) writeToDisk(write *core.Write) error {
	if write.Checkpoint {
		return m.journal.Checkpoint(write.Records)
	}
	return m.journal.Append(write.Records)
}

// kill ends the process. With powerLoss the disk loses what was not synced. A write in flight may have been performed in part or
// completely.
func (m *machine) kill(powerLoss bool) {
	if !m.running {
		return
	}
	sim := m.sim
	sim.logf("kill %s power %v", m.name, powerLoss)
	m.running = false
	m.recordFault()
	m.recordDisturbance()
	if m.isCore {
		sim.health.recordCoreFault()
	}
	if m.disk == nil {
		return
	}
	if m.writeInFlight != nil && m.journal != nil && sim.random.IntN(3) > 0 {
		m.disk.StopAt(m.disk.Steps() + 1 + sim.random.IntN(maxStepsOfKill))
		_ = m.writeToDisk(m.writeInFlight)
	}
	m.writeInFlight, m.journal = nil, nil
	if powerLoss {
		m.disk.LosePower([]diskfault.Loss{diskfault.SomeLost, diskfault.AllLost}[sim.random.IntN(2)])
	} else {
		m.disk.Restart()
	}
}

// eraseDisk ends the process and replaces the disk by an empty one.
func (m *machine) eraseDisk() {
	m.kill(true)
	m.newDisk()
	m.bootstrap = false
	m.sim.logf("erase disk of %s", m.name)
}

// freeze suspends the process for a while.
func (m *machine) freeze(duration time.Duration) {
	if !m.running {
		return
	}
	sim := m.sim
	sim.logf("freeze %s for %v", m.name, duration)
	m.frozenUntil = max(m.frozenUntil, sim.now+duration)
	sim.after(duration, m.beginFault())
}
