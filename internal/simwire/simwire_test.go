package simwire

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const facts = "classes.count=1\nclasses.0.aim-ms=1000\nclasses.0.effect=repeatable\nfamily-info.places=1\n" +
	"family-info.span=1\nlimits.attempts-cap=3\nlimits.cancel=true\nlimits.parallel-tries=true\nunheard-of=1,2"

// littleEndian encodes values one after another, little-endian.
func littleEndian(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		if s, ok := v.(string); ok {
			b.WriteString(s)
		} else {
			binary.Write(&b, binary.LittleEndian, v)
		}
	}
	return b.Bytes()
}

// frame encodes a frame with these records.
func frame(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return append(littleEndian(uint32(len(body)), now), body...)
}

var (
	forInstance1 = littleEndian(uint16(eventFor), uint16(1))
	enlist       = littleEndian(uint16(eventEnlist), uint64(9), uint32(len(facts)), facts)
	rows         = littleEndian(uint16(eventSnapshotRows), uint8(0), uint32(1), "\x0a\x00\x00\x01\x50\x00", uint8(0), uint8(0), uint16(0),
		uint8(2), float32(1), float64(0))
	update   = littleEndian(uint16(eventUpdate), uint8(0), uint32(1), uint8(2))
	teardown = littleEndian(uint16(eventTeardown))
	started  = frame(1000, forInstance1, enlist, rows, update)
)

// inboundRecord encodes an Inbound record; a negative segment makes it a search.
func inboundRecord(id uint64, segment, share float32) []byte {
	return littleEndian(uint16(eventInbound), id, uint8(0), uint16(0), uint64(0), float64(5000), float64(0), float32(1),
		segment, share, uint8(0))
}

// doneRecord encodes a Done record.
func doneRecord(id uint64, outcome uint8) []byte {
	return littleEndian(uint16(eventDone), id, outcome, "\x0a\x00\x00\x01\x50\x00", uint16(0), uint8(0), float64(10), uint8(0))
}

// runFrames runs the frames in input and returns the codes of the records in each reply.
func runFrames(t *testing.T, input ...[]byte) (codes [][]uint16, err error) {
	t.Helper()
	var out bytes.Buffer
	err = Run(bytes.NewReader(bytes.Join(input, nil)), &out)
	size := map[uint16]int{decisionFrom: 2, decisionRelay: 22, decisionCancel: 10, decisionPushBack: 16,
		decisionReportFailure: 8, decisionMerge: 9, decisionSoundOut: 6, decisionKeepInformed: 1, decisionRemind: 16}
	for b := out.Bytes(); len(b) >= 8; {
		n, length := int(binary.LittleEndian.Uint32(b)), int(binary.LittleEndian.Uint32(b[4:]))
		body, list := b[8:8+length], []uint16{}
		b = b[8+length:]
		for range n {
			code := binary.LittleEndian.Uint16(body)
			step, known := size[code]
			if !known {
				step = 2 + int(binary.LittleEndian.Uint16(body[2:]))
			}
			list, body = append(list, code), body[2+step:]
		}
		if len(body) != 0 {
			t.Fatalf("%d bytes past the records of a reply", len(body))
		}
		codes = append(codes, list)
	}
	return codes, err
}

func TestSearchIsSentAnsweredAndForgotten(t *testing.T) {
	codes, err := runFrames(t, frame(0), started, frame(1001, forInstance1, inboundRecord(7, -1, 1), inboundRecord(8, 0, 1)),
		frame(1100, forInstance1, doneRecord(8, 10)), frame(1101, forInstance1, littleEndian(uint16(eventLapsed), uint64(7))))
	if err != nil || len(codes) != 5 {
		t.Fatal(codes, err)
	}
	if got := codes[2]; len(got) != 3 || got[0] != decisionFrom || got[1] != decisionRelay || got[2] != decisionRemind {
		t.Errorf("reply to a search: %v, want From, Relay, Remind", got)
	}
	if got := codes[3]; len(got) != 2 || got[1] != decisionMerge {
		t.Errorf("reply to the result of its attempt: %v, want From, Merge", got)
	}
	if len(codes[0])+len(codes[4]) != 0 {
		t.Errorf("replies to an empty frame and to an event of a forgotten search: %v, %v, want none", codes[0], codes[4])
	}
}

func TestKilledInstanceStartsEmpty(t *testing.T) {
	codes, err := runFrames(t, started, frame(1001, forInstance1, inboundRecord(7, -1, 1), inboundRecord(8, 0, 1)),
		frame(1002, forInstance1, teardown, enlist, update), frame(1003, forInstance1, doneRecord(8, 10)))
	if err != nil || len(codes) != 4 || len(codes[3]) != 0 {
		t.Fatal(codes, err)
	}
}

func TestErrorNamesTheInvalidRecord(t *testing.T) {
	for want, input := range map[string][]byte{
		"header was cut off":                   {1, 2},
		"body of 4294967295 bytes was cut off": littleEndian(uint32(math.MaxUint32), float64(1)),
		"Bell at byte 0":                       frame(1, littleEndian(uint16(eventBell), uint64(1))),
		"unknown code 7 at byte 4":             frame(1, forInstance1, littleEndian(uint16(7))),
		"at byte 4 overruns":                   frame(1, forInstance1, littleEndian(uint16(eventEnlist), uint64(1), uint32(math.MaxUint32))),
		"record 1090 at byte 0":                frame(1, littleEndian(uint16(eventSnapshotRows), uint8(0), uint32(math.MaxUint32))),
		"list number 16":                       frame(1, littleEndian(uint16(eventSnapshotRows), uint8(16), uint32(0))),
		"has no Enlist record":                 frame(1, forInstance1, update),
		"time is not a finite number":          frame(math.NaN()),
		"invalid outcome 11":                   append(bytes.Clone(started), frame(1001, forInstance1, doneRecord(8, 11))...),
	} {
		if _, err := runFrames(t, input); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// FuzzRun checks that no input makes a policy panic, and that all replies are complete.
func FuzzRun(f *testing.F) {
	whole := bytes.Join([][]byte{started, frame(1001, forInstance1, inboundRecord(7, -1, 2),
		inboundRecord(8, 0, 0.5), inboundRecord(9, 0, 0.5)),
		frame(1100, forInstance1, doneRecord(8, 10), doneRecord(9, 20)), frame(1200, forInstance1, teardown, enlist, update)}, nil)
	f.Add(whole)
	for i := 0; i < len(whole); i += 13 {
		f.Add(whole[:i])
		broken := bytes.Clone(whole)
		broken[i] ^= 0x5a
		f.Add(broken)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		var out bytes.Buffer
		Run(bytes.NewReader(input), &out)
		if bytes.Contains(out.Bytes(), []byte("decision code failed")) {
			t.Fatal("the policy panicked")
		}
		for b := out.Bytes(); len(b) > 0; {
			if len(b) < 8 || len(b) < 8+int(binary.LittleEndian.Uint32(b[4:])) {
				t.Fatal("a reply is shorter than its length states")
			}
			b = b[8+int(binary.LittleEndian.Uint32(b[4:])):]
		}
	})
}
