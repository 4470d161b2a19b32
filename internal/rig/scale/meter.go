package scale

import (
	"time"

	"golang.org/x/sys/unix"

	"kestrelspread/internal/node/wireproto"
)

// traffic counts the messages of one kind at one node.
type traffic struct {
	sent, received           uint64
	sentBytes, receivedBytes uint64
	spent                    time.Duration // processor time of taking them, and of what follows from that
}

// meter counts at one node. It only rises; see minus.
type meter struct {
	kinds  [wireproto.KindLimit]traffic
	ticks  time.Duration // processor time of timers
	calls  traffic       // heartbeats of brokers and changes of operators, without their HTTP
	events traffic       // answers of brokers about kept parts, their JSON included
	turns  uint64        // inputs taken
	writes uint64        // to the disk
	stored uint64        // bytes written to the disk
}

// minus gives what was counted since an earlier reading.
func (m meter) minus(earlier meter) meter {
	for kind := range m.kinds {
		m.kinds[kind] = m.kinds[kind].minus(earlier.kinds[kind])
	}
	m.ticks -= earlier.ticks
	m.calls = m.calls.minus(earlier.calls)
	m.events = m.events.minus(earlier.events)
	m.turns -= earlier.turns
	m.writes -= earlier.writes
	m.stored -= earlier.stored
	return m
}

func (t traffic) minus(earlier traffic) traffic {
	return traffic{
		sent: t.sent - earlier.sent, received: t.received - earlier.received,
		sentBytes: t.sentBytes - earlier.sentBytes, receivedBytes: t.receivedBytes - earlier.receivedBytes,
		spent: t.spent - earlier.spent,
	}
}

func (t traffic) plus(other traffic) traffic {
	return traffic{
		sent: t.sent + other.sent, received: t.received + other.received,
		sentBytes: t.sentBytes + other.sentBytes, receivedBytes: t.receivedBytes + other.receivedBytes,
		spent: t.spent + other.spent,
	}
}

// total adds up what passed between nodes.
func (m *meter) total() traffic {
	var sum traffic
	for _, kind := range m.kinds {
		sum = sum.plus(kind)
	}
	return sum
}

// spent is all processor time.
func (m *meter) spent() time.Duration {
	return m.total().spent + m.ticks + m.calls.spent + m.events.spent
}

// threadTime is the processor time of this thread so far. The caller's goroutine is locked to its thread.
func threadTime() time.Duration { return processorTime(unix.CLOCK_THREAD_CPUTIME_ID) }

// processTime is the processor time of all threads so far.
func processTime() time.Duration { return processorTime(unix.CLOCK_PROCESS_CPUTIME_ID) }

func processorTime(clock int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		panic(err) // both clocks exist on Linux
	}
	return time.Duration(now.Nano())
}
