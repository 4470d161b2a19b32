package simwire_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/simwire"
)

const (
	goldenFrames      = 400
	goldenFullReplies = 40 // frames whose full replies are in the golden file; the others count in its hash
	goldenServers     = 24
)

// Codes of the records from the simulator, as fixed by its protocol.
const (
	eventProbeResult  = 1000
	eventTeardown     = 1020
	eventUpdate       = 1030
	eventEnlist       = 1040
	eventFor          = 1050
	eventLapsed       = 1060
	eventInbound      = 1070
	eventSnapshotRows = 1090
	eventDone         = 1100
	eventBell         = 1110
)

// Codes of the records in a reply, as fixed by the protocol of the simulator.
const (
	decisionLetGo         = 1000
	decisionPushBack      = 1010
	decisionRemind        = 1020
	decisionFatal         = 1030
	decisionSoundOut      = 1050
	decisionReportFailure = 1060
	decisionFrom          = 1070
	decisionMerge         = 1080
	decisionCancel        = 1100
	decisionKeepInformed  = 1110
	decisionRelay         = 1130
)

// goldenFacts are the settings of the aggregators.
const goldenFacts = `balancers=2
classes.count=3
classes.0.aim-ms=400
classes.0.importance=3
classes.0.late-value=0.2
classes.0.effect=repeatable
classes.0.window-ms=100
classes.1.aim-ms=900
classes.1.effect=by_key
classes.1.group=all
classes.2.aim-ms=1500
classes.2.effect=once
customers.count=2
customers.0.quota-per-s=30
customers.1.quota-per-s=5
over-share-worth=0.5
family-info.class-need=1,0.5,0.8
family-info.class-floor=0.6,0.3,0.5
family-info.incomplete-worth=0.4,0.2,0.1
family-info.follow-up=1,0,0
family-info.places=6
family-info.span=4
family-info.batch=2
family-info.call-ms=3
family-info.warm-keys=true
limits.attempts-cap=3
limits.most-held=40
limits.cancel=true
limits.parallel-tries=true
limits.retry-after=true
limits.max-retry-after-ms=2000
limits.may-probe=true
safety.cold-from=0.5
safety.cold-ms=2000
safety.tip-multiple=4
safety.tip-after-ms=500
safety.spare-attempts=10
safety.further-ratio=0.2
safety.counted-over-ms=1000
report.via=answers
report.fields=active,cpu,waiting
discovery=ask`

// fakeSimulator stands in for the simulator: it makes frames that depend only on a seed and on the replies to earlier
// frames.
type fakeSimulator struct {
	random  *rand.Rand
	now     float64
	jobs    int
	due     []scheduledEvent // events of later frames, in order of creation
	records map[uint16]int   // number of records in all replies by code
}

// scheduledEvent is a record that the simulator sends to an aggregator once the simulated time reaches at.
type scheduledEvent struct {
	at         float64 // in milliseconds
	aggregator uint16
	record     []byte
}

// littleEndian encodes values one after another.
func littleEndian(values ...any) []byte {
	var b bytes.Buffer
	for _, value := range values {
		if text, ok := value.(string); ok {
			b.WriteString(text)
			continue
		}
		_ = binary.Write(&b, binary.LittleEndian, value)
	}
	return b.Bytes()
}

// serverID returns the wire id of a server, an IPv4 address and a port.
func serverID(server int) string {
	return string([]byte{10, 0, byte(server / 8), byte(server), 0x1f, 0x90})
}

// rows makes a SnapshotRows record with all servers or a few of them, and the Update record for aggregator 1.
func (s *fakeSimulator) rows(list uint8, full bool) []byte {
	var rows []byte
	count := uint32(0)
	for server := range goldenServers {
		if !full && s.random.IntN(6) > 0 {
			continue
		}
		state := []uint8{2, 2, 2, 2, 2, 2, 1, 3}[s.random.IntN(8)]
		rows = append(rows, littleEndian(serverID(server), uint8(server/8), uint8(0), uint16(server%6), state,
			float32(1+server%2), float64(-50*server))...)
		count++
	}
	kind := uint8(0)
	if full {
		kind = 2
	}
	return append(littleEndian(uint16(eventSnapshotRows), list, count),
		append(rows, littleEndian(uint16(eventFor), uint16(1), uint16(eventUpdate), list, uint32(1), kind)...)...)
}

// frame makes the next frame: the events that are due and up to two searches. Some frames also restart
// aggregators or change the server list.
func (s *fakeSimulator) frame(number int) []byte {
	s.now += float64(s.random.IntN(12))
	var body []byte
	switch {
	case number == 0 || number == 300:
		for aggregator := range uint16(2) {
			body = append(body, littleEndian(uint16(eventFor), aggregator, uint16(eventEnlist),
				uint64(9+aggregator), uint32(len(goldenFacts)), goldenFacts)...)
		}
		body = append(body, s.rows(0, true)...)
		body = append(body, littleEndian(uint16(eventFor), uint16(0), uint16(eventUpdate), uint8(0), uint32(1), uint8(2))...)
	case number == 290:
		s.due = slices.DeleteFunc(s.due, func(event scheduledEvent) bool { return event.aggregator == 1 })
		return s.withHeader(littleEndian(uint16(eventFor), uint16(1), uint16(eventTeardown), uint16(eventEnlist),
			uint64(77), uint32(len(goldenFacts)), goldenFacts))
	case number%25 == 24:
		body = append(body, s.rows(uint8(number/25%3), false)...)
	}
	var later []scheduledEvent
	for _, event := range s.due {
		if event.at > s.now {
			later = append(later, event)
			continue
		}
		body = append(append(body, littleEndian(uint16(eventFor), event.aggregator)...), event.record...)
	}
	s.due = later
	for range s.random.IntN(3) {
		body = append(body, s.search()...)
	}
	return s.withHeader(body)
}

// withHeader puts the header of a frame before its records.
func (s *fakeSimulator) withHeader(body []byte) []byte {
	return append(littleEndian(uint32(len(body)), s.now), body...)
}

// search makes a search of one to four shard requests at one of the aggregators.
func (s *fakeSimulator) search() []byte {
	s.jobs++
	aggregator, class, customer := uint16(s.random.IntN(2)), uint8(s.random.IntN(3)), uint16(s.random.IntN(2))
	requests := 1 + s.random.IntN(4)
	deadline := s.now + 200 + float64(s.random.IntN(1500))
	body := littleEndian(uint16(eventFor), aggregator)
	arrival := func(id uint64, segment, share float32) {
		body = append(body, littleEndian(uint16(eventInbound), id, class, customer, uint64(s.random.IntN(9)), deadline,
			float64(s.random.IntN(40)), float32(s.jobs), segment, share, uint8(s.random.IntN(2)))...)
	}
	id := uint64(s.jobs * 10)
	arrival(id, -1, float32(requests))
	for request := range requests {
		arrival(id+1+uint64(request), float32(request), 1/float32(requests))
	}
	lapsed := littleEndian(uint16(eventLapsed), id)
	s.due = append(s.due, scheduledEvent{deadline, aggregator, lapsed})
	return body
}

// handleReply parses a reply and schedules the events that follow from its decisions.
func (s *fakeSimulator) handleReply(t *testing.T, reply []byte) {
	t.Helper()
	sizes := map[uint16]int{decisionLetGo: 6, decisionPushBack: 16, decisionRemind: 16, decisionSoundOut: 6, decisionReportFailure: 8,
		decisionFrom: 2, decisionMerge: 9, decisionCancel: 10, decisionKeepInformed: 1, decisionRelay: 22}
	count := binary.LittleEndian.Uint32(reply)
	rest := reply[8:]
	aggregator := uint16(0)
	for range count {
		code := binary.LittleEndian.Uint16(rest)
		size, fixed := sizes[code]
		if !fixed { // the record is one text
			size = 2 + int(binary.LittleEndian.Uint16(rest[2:]))
		}
		record := rest[2 : 2+size]
		rest = rest[2+size:]
		s.records[code]++
		assert.Assert(t, code != decisionFatal, "%q", record) // Fatal: the policy panicked
		switch code {
		case decisionFrom:
			aggregator = binary.LittleEndian.Uint16(record)
		case decisionRelay:
			s.scheduleResult(aggregator, record[:8], record[16:22])
		case decisionSoundOut:
			result := append(littleEndian(uint16(eventProbeResult)), record...)
			result = append(result, littleEndian(uint8(10+10*s.random.IntN(2)), float64(s.random.IntN(30)), uint8(3),
				float32(2), float32(0.5), float32(1))...)
			s.due = append(s.due, scheduledEvent{s.now + 5, aggregator, result})
		case decisionRemind:
			wait := math.Float64frombits(binary.LittleEndian.Uint64(record))
			s.due = append(s.due, scheduledEvent{s.now + wait, aggregator, littleEndian(uint16(eventBell), uint64(0))})
		}
	}
	assert.Equal(t, len(rest), 0)
}

// scheduleResult schedules the result of an attempt, mostly an answer.
func (s *fakeSimulator) scheduleResult(aggregator uint16, request, server []byte) {
	outcome := uint8(10)
	if s.random.IntN(5) == 0 {
		outcome = uint8(10 * (1 + s.random.IntN(8)))
	}
	elapsed := float64(10 + s.random.IntN(60)*(1+int(server[3])%5))
	record := append(littleEndian(uint16(eventDone)), request...)
	record = append(record, outcome)
	record = append(record, server...)
	record = append(record, littleEndian(uint16(0), uint8(0), elapsed, uint8(3), float32(s.random.IntN(9)), float32(0.4), float32(1))...)
	s.due = append(s.due, scheduledEvent{s.now + elapsed, aggregator, record})
}

// TestRepliesMatchGolden runs two simulated aggregators and compares the bytes of their replies with the golden file.
func TestRepliesMatchGolden(t *testing.T) {
	simulatorInput, input := io.Pipe()
	output, simulatorOutput := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := simwire.Run(simulatorInput, simulatorOutput)
		_ = simulatorOutput.CloseWithError(err)
		ended <- err
	}()

	simulator := &fakeSimulator{random: rand.New(rand.NewPCG(52, 1)), now: 1000, records: map[uint16]int{}}
	sent, got := sha256.New(), sha256.New()
	var text strings.Builder
	for number := range goldenFrames {
		frame := simulator.frame(number)
		sent.Write(frame)
		_, err := input.Write(frame)
		assert.NilError(t, err)
		head := make([]byte, 8)
		_, err = io.ReadFull(output, head)
		assert.NilError(t, err)
		reply := append(head, make([]byte, binary.LittleEndian.Uint32(head[4:]))...)
		_, err = io.ReadFull(output, reply[8:])
		assert.NilError(t, err)
		got.Write(reply)
		simulator.handleReply(t, reply)
		if number < goldenFullReplies {
			fmt.Fprintf(&text, "%d %s\n", number, hex.EncodeToString(reply))
		}
	}
	assert.NilError(t, input.Close())
	assert.NilError(t, <-ended)

	var codes []uint16
	for code := range simulator.records {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	for _, code := range codes {
		fmt.Fprintf(&text, "records %d: %d\n", code, simulator.records[code])
	}
	fmt.Fprintf(&text, "sent %x\ngot %x\n", sent.Sum(nil), got.Sum(nil))
	golden.Assert(t, text.String(), "golden/frames.txt")
}
