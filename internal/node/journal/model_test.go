package journal_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/journal/diskfault"
)

const (
	directory = "/data/node"
	// smallDisk makes segments of 16 KiB, so that the ring goes round often.
	smallDisk = 64 << 10
)

// model predicts what the next start of a journal may find.
type model struct {
	// durable is what must be found, unless one of possible is found in its place.
	durable []core.Record
	// possible: writes that failed may have taken effect, in part where they were appended.
	possible [][]core.Record
	// current is what the running journal builds on; it differs from durable where a start could
	// not prove what it read.
	current []core.Record
	// identity, once it is known to be durable.
	identity string
}

// appended records the result of an append.
func (m *model) appended(records []core.Record, err error) {
	after := concatenated(m.current, records)
	switch {
	case err != nil:
		for n := len(m.current) + 1; n <= len(after); n++ {
			m.possible = append(m.possible, after[:n])
		}
	case len(records) > 0:
		m.durable, m.current, m.possible = after, after, nil
	default:
		m.durable = m.current
	}
}

// checkpointed records the result of a checkpoint.
func (m *model) checkpointed(records []core.Record, err error) {
	if err != nil {
		m.possible = append(m.possible, records)
		return
	}
	m.durable, m.current, m.possible = records, records, nil
}

// recovered checks what a start found.
func (m *model) recovered(t *testing.T, opened *journal.Journal, records []core.Record, trace fmt.Stringer) {
	t.Helper()
	assert.Assert(t, !opened.Recovery().Damaged, "%s", trace)
	if m.identity != "" {
		assert.Equal(t, opened.Identity(), m.identity, "%s", trace)
	}
	allowed := equalRecords(records, m.durable)
	for _, other := range m.possible {
		allowed = allowed || equalRecords(records, other)
	}
	assert.Assert(t, allowed, "found %s, durable %s, possible %d\n%s",
		names(records), names(m.durable), len(m.possible), trace)
	m.current = records
	if opened.Healthy() {
		m.durable, m.possible = records, nil
		m.identity = opened.Identity()
	} else {
		m.possible = append(m.possible, records)
	}
}

func concatenated(a, b []core.Record) []core.Record {
	return append(append([]core.Record{}, a...), b...)
}

func equalRecords(a, b []core.Record) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Kind != b[i].Kind || !bytes.Equal(a[i].Data, b[i].Data) {
			return false
		}
	}
	return true
}

// names shortens records to their first bytes.
func names(records []core.Record) string {
	var b bytes.Buffer
	for _, record := range records {
		fmt.Fprintf(&b, "%.6s ", record.Data)
	}
	return b.String()
}

// recordMaker makes records that differ from one another.
type recordMaker struct {
	random *rand.Rand
	made   int
}

// batch makes some records, mostly of the same few sizes: remains of one write then end where
// another does.
func (m *recordMaker) batch(maxRecords int) []core.Record {
	records := make([]core.Record, m.random.IntN(maxRecords+1))
	for i := range records {
		m.made++
		size := 8 * (1 + m.random.IntN(2))
		if m.random.IntN(8) == 0 {
			size = m.random.IntN(2000)
		}
		data := make([]byte, max(size, 6))
		copy(data, fmt.Sprintf("%05d", m.made))
		records[i] = core.Record{Kind: uint8(m.made), Data: data}
	}
	return records
}

// machine is a journal on a faulty disk with the model of it.
type machine struct {
	t      *testing.T
	disk   *diskfault.Disk
	random *rand.Rand
	maker  *recordMaker
	model  model
	open   *journal.Journal // nil: the process does not run
	trace  *bytes.Buffer
}

func newMachine(t *testing.T, seed uint64) *machine {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	m := &machine{
		t:      t,
		random: random,
		disk:   diskfault.New(random),
		maker:  &recordMaker{random: random},
		trace:  &bytes.Buffer{},
	}
	fmt.Fprintf(m.trace, "seed %d:", seed)
	return m
}

// start opens the journal; where the process is stopped meanwhile, it stays down.
func (m *machine) start() {
	m.t.Helper()
	opened, records, err := journal.Open(journal.Options{Dir: directory, MaxBytes: smallDisk, FileSystem: m.disk})
	if err != nil {
		fmt.Fprint(m.trace, " start-failed")
		return
	}
	fmt.Fprintf(m.trace, " start(%d healthy=%v)", len(records), opened.Healthy())
	m.open = opened
	m.model.recovered(m.t, opened, records, m.trace)
}

// write makes one write, a checkpoint where it is due or by chance.
func (m *machine) write() {
	if m.open.NeedsCheckpoint() || m.random.IntN(6) == 0 {
		m.checkpoint()
		return
	}
	m.append(m.maker.batch(4))
}

func (m *machine) append(records []core.Record) {
	err := m.open.Append(records)
	fmt.Fprintf(m.trace, " append(%s)=%v", names(records), err == nil)
	m.model.appended(records, err)
	m.learnIdentity(err)
}

func (m *machine) checkpoint() {
	records := m.maker.batch(6)
	err := m.open.Checkpoint(records)
	fmt.Fprintf(m.trace, " checkpoint(%s)=%v", names(records), err == nil)
	m.model.checkpointed(records, err)
	m.learnIdentity(err)
}

// learnIdentity records the identity, which is durable after any write that succeeded.
func (m *machine) learnIdentity(err error) {
	if err == nil {
		m.model.identity = m.open.Identity()
	}
}

// crash ends the process, with or without a loss of power.
func (m *machine) crash() {
	m.open = nil
	switch m.random.IntN(4) {
	case 0:
		fmt.Fprint(m.trace, " kill")
		m.disk.Restart()
	case 1:
		fmt.Fprint(m.trace, " lose-all")
		m.disk.LosePower(diskfault.AllLost)
	default:
		fmt.Fprint(m.trace, " lose-some")
		m.disk.LosePower(diskfault.SomeLost)
	}
}
