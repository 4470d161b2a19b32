package journal_test

import (
	"testing"
)

// writesOfScript is how many writes follow one another between two crashes.
const writesOfScript = 25

// TestCrashAtEveryOperation stops the process in the midst of each operation on the disk in turn,
// lets it start again, has it stopped once more soon after, and checks what it finds.
func TestCrashAtEveryOperation(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		for step := 1; ; step++ {
			m := newMachine(t, seed)
			m.disk.StopAt(step)
			m.start()
			m.writeUntilStopped(writesOfScript)
			if m.disk.Steps() < step {
				break
			}
			m.crash()
			m.disk.StopAt(m.disk.Steps() + 1 + m.random.IntN(12))
			m.start()
			m.writeUntilStopped(writesOfScript)
			m.crash()
			m.start()
			m.writeUntilStopped(5)
		}
	}
}

// writeUntilStopped writes up to n times.
func (m *machine) writeUntilStopped(n int) {
	for range n {
		if m.open == nil {
			return
		}
		m.write()
	}
}

// TestDiskFaultsMixedWithCrashes mixes full and failing disks with crashes.
func TestDiskFaultsMixedWithCrashes(t *testing.T) {
	seeds := uint64(4000)
	if testing.Short() {
		seeds = 600
	}
	for seed := range seeds {
		m := newMachine(t, 1000+seed)
		for range 60 {
			m.randomFaultOrWrite()
		}
	}
}

// randomFaultOrWrite makes one random step: mostly a write.
func (m *machine) randomFaultOrWrite() {
	m.t.Helper()
	if m.open == nil {
		m.crash() // the disk works again after it
		m.disk.SetFull(m.random.IntN(8) == 0)
		m.disk.SetFailing(m.random.IntN(8) == 0)
		m.start()
		return
	}
	switch m.random.IntN(13) {
	case 0:
		full := m.random.IntN(2) == 0
		m.traceSwitch("full", full)
		m.disk.SetFull(full)
	case 1:
		failing := m.random.IntN(2) == 0
		m.traceSwitch("failing", failing)
		m.disk.SetFailing(failing)
	case 2:
		m.crash()
	case 3:
		m.disk.StopAt(m.disk.Steps() + 1 + m.random.IntN(10))
	case 4:
		m.append(nil)
	case 5:
		failing := m.random.IntN(2) == 0
		m.traceSwitch("syncs-failing", failing)
		m.disk.SetSyncsFailing(failing)
	default:
		m.write()
	}
}

func (m *machine) traceSwitch(what string, value bool) {
	m.trace.WriteString(" " + what)
	if !value {
		m.trace.WriteString("-off")
	}
}
