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
	diskBytes     = 4 << 20
	diskRetry     = 500 * time.Millisecond
	timerLateness = 3 * time.Millisecond
)

// machine is one machine: its disk and, while it runs, one life of its process.
type machine struct {
	world   *World
	name    string
	address string
	zone    string
	counts  bool

	life        int
	running     bool
	removed     bool // for good
	leaving     bool // it will be removed: its successor is there already
	bootstrap   bool // as its settings say
	startedAt   time.Duration
	frozenUntil time.Duration
	node        *control.Node
	generation  int // of timers: older ones are void
	wakeAt      core.Time

	disk      *diskfault.Disk
	journal   *journal.Journal
	sync      time.Duration
	hangUntil time.Duration
	out       *core.Write // on its way to the disk

	troubleAt time.Duration // when its newest trouble began or ended
	troubles  int           // that last
	requests  uint64
	replies   map[uint64]func(core.Reply)
	answers   map[uint64]func(core.RegistryReply)
	index     uint64 // of the state that it held last, in this life
}

func (m *machine) nodeID() string { return fmt.Sprintf("%s/%d", m.name, m.life) }

func (m *machine) controlAddress() string { return m.name + ":2" }

func (m *machine) newDisk() {
	w := m.world
	m.disk = diskfault.New(rand.New(rand.NewPCG(w.random.Uint64(), 11)))
	m.sync = w.plan.Sync
	m.hangUntil = 0
	w.disks++
}

// troubled notes that something is done to the machine just now.
func (m *machine) troubled() { m.troubleAt = m.world.now }

// trouble notes a trouble that lasts; end is to be called at its end.
func (m *machine) trouble() (end func()) {
	m.troubles++
	m.troubled()
	if m.counts {
		m.world.health.coreTroubled()
	}
	return func() {
		m.troubles--
		m.troubled()
		if m.counts {
			m.world.health.coreTroubled()
		}
	}
}

// now is the steady time of the process.
func (m *machine) now() core.Time { return m.world.now - m.startedAt }

// start begins a life of the process.
func (m *machine) start() {
	if m.running || m.removed {
		return
	}
	w := m.world
	m.life++
	m.running = true
	m.startedAt = w.now
	m.frozenUntil = 0
	m.generation++
	m.wakeAt = core.Never
	m.journal, m.out = nil, nil
	m.replies, m.answers = map[uint64]func(core.Reply){}, map[uint64]func(core.RegistryReply){}
	m.index = 0
	m.troubled()
	if m.counts {
		w.health.coreTroubled()
	}
	w.logf("start %s life %d", m.name, m.life)
	m.node = control.New(0, control.Options{
		Self: &nodepb.Member{
			NodeId: m.nodeID(), Name: m.name, Address: m.address, ControlAddress: m.controlAddress(), Zone: m.zone, Region: "r",
			CountsForQuorum: m.counts, ServesFront: true, Incarnation: 1,
		},
		Seeds:                 slices.Clone(w.seeds),
		Bootstrap:             m.bootstrap,
		FaultTolerance:        w.plan.Tolerance,
		MaxConfigurationBytes: int(journal.LargestState(diskBytes)),
		Checker:               noChecker{},
		HeartbeatInterval:     heartbeatTime,
		Bounds: control.Bounds{
			Contact: contactTime, GlobalRevocation: w.plan.GlobalRevocation, Revoke: revokeTime, Lease: leaseTime, Thaw: thawTime, Version: versionTime,
		},
	}, rand.New(rand.NewPCG(w.random.Uint64(), 12)))
	m.bootstrap = false
	if m.counts {
		m.openDisk(m.life)
	}
	m.arm()
}

// openDisk reads the journal, again and again while the disk can't be read or takes no writes, and attaches it.
func (m *machine) openDisk(life int) {
	w := m.world
	w.at(max(w.now+m.sync, m.hangUntil), func() {
		if m.life != life || !m.running {
			return
		}
		opened, records, err := journal.Open(journal.Options{
			Dir: "/data", MaxBytes: diskBytes, FileSystem: m.disk, Random: chanceReader{w.random},
		})
		if err == nil && !opened.Healthy() {
			err = opened.Append(nil)
		}
		if err != nil {
			w.after(diskRetry, func() { m.openDisk(life) })
			return
		}
		m.input(func(now core.Time) { m.attach(now, opened, records) })
	})
}

// chanceReader draws bytes from a source of chance.
type chanceReader struct{ random *rand.Rand }

// Read implements io.Reader; it never fails.
func (r chanceReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.random.Uint32())
	}
	return len(b), nil
}

func (m *machine) attach(now core.Time, opened *journal.Journal, records []core.Record) {
	outputs, err := m.node.AttachStore(now, opened.Identity(), records)
	if err != nil {
		m.world.fail("%s can't take up its journal: %v", m.name, err)
		return
	}
	m.journal = opened
	m.world.logf("%s: disk attached, %d records", m.name, len(records))
	m.carryOut(outputs)
}

// input runs one step of the process: at once, or when it thaws.
func (m *machine) input(step func(now core.Time)) {
	w := m.world
	if !m.running {
		return
	}
	if m.frozenUntil > w.now {
		life := m.life
		w.at(m.frozenUntil, func() {
			if m.life == life {
				m.input(step)
			}
		})
		return
	}
	step(m.now())
	m.carryOut(m.node.Tick(m.now()))
	m.arm()
}

// arm sets the timer to the node's next deadline.
func (m *machine) arm() {
	deadline := m.node.Deadline()
	if deadline == m.wakeAt || deadline == core.Never {
		return
	}
	w := m.world
	m.wakeAt = deadline
	m.generation++
	generation, life := m.generation, m.life
	late := time.Duration(w.random.Int64N(int64(timerLateness)))
	w.at(max(m.startedAt+deadline, w.now)+late, func() {
		if m.generation == generation && m.life == life {
			m.wakeAt = core.Never
			m.input(func(core.Time) {})
		}
	})
}

// carryOut does what the node asks for.
func (m *machine) carryOut(outputs []core.Output) {
	w := m.world
	for _, output := range outputs {
		switch output := output.(type) {
		case core.Send:
			w.network.send(m, output.Destination, output.Message)
		case core.Write:
			m.write(output)
		case core.Reply:
			if reply := m.replies[output.Request]; reply != nil {
				delete(m.replies, output.Request)
				reply(output)
			}
		case core.RegistryReply:
			if answer := m.answers[output.Request]; answer != nil {
				delete(m.answers, output.Request)
				answer(output)
			}
		case core.StateChanged:
			w.checks.stateChanged(m)
		case core.SendOrder:
			w.order(m, output)
		case core.FetchReport:
			w.askReport(m, output)
		case core.Log:
			w.logf("%s: %s %v", m.name, output.Message, output.Fields)
		}
	}
}

// write puts records on the disk; the process hears of it when that is over.
func (m *machine) write(write core.Write) {
	w := m.world
	if m.out != nil {
		w.fail("%s: a write while another is out", m.name)
	}
	m.out = &write
	life := m.life
	took := m.sync/2 + time.Duration(w.random.Int64N(int64(m.sync)+1))
	w.at(max(w.now+took, m.hangUntil), func() {
		if m.life == life && m.running && m.out == &write {
			m.written()
		}
	})
}

func (m *machine) written() {
	write := m.out
	m.out = nil
	err := m.perform(write)
	needsCheckpoint := m.journal.NeedsCheckpoint()
	m.input(func(now core.Time) { m.carryOut(m.node.Written(now, write.Token, err, needsCheckpoint)) })
}

func (m *machine) perform(write *core.Write) error {
	if write.Checkpoint {
		return m.journal.Checkpoint(write.Records)
	}
	return m.journal.Append(write.Records)
}

// kill ends the process. With power the machine loses what its disk had not synced. A write that is under way may have come
// through in part or whole.
func (m *machine) kill(power bool) {
	if !m.running {
		return
	}
	w := m.world
	w.logf("kill %s power %v", m.name, power)
	m.running = false
	m.troubled()
	if m.counts {
		w.health.coreTroubled()
	}
	if m.disk == nil {
		return
	}
	if m.out != nil && m.journal != nil && w.random.IntN(3) > 0 {
		m.disk.StopAt(m.disk.Steps() + 1 + w.random.IntN(5))
		_ = m.perform(m.out)
	}
	m.out, m.journal = nil, nil
	if power {
		m.disk.LosePower([]diskfault.Loss{diskfault.SomeLost, diskfault.AllLost}[w.random.IntN(2)])
	} else {
		m.disk.Restart()
	}
}

// wipe ends the process and empties the disk.
func (m *machine) wipe() {
	m.kill(true)
	m.newDisk()
	m.bootstrap = false
	m.world.logf("wipe %s", m.name)
}

func (m *machine) freeze(span time.Duration) {
	if !m.running {
		return
	}
	w := m.world
	w.logf("freeze %s for %v", m.name, span)
	m.frozenUntil = max(m.frozenUntil, w.now+span)
	w.after(span, m.trouble())
}
