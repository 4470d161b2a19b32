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

// le encodes values one after another, little-endian.
func le(values ...any) []byte {
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
	return append(le(uint32(len(body)), now), body...)
}

var (
	forOne = le(uint16(1050), uint16(1))
	enlist = le(uint16(1040), uint64(9), uint32(len(facts)), facts)
	rows   = le(uint16(1090), uint8(0), uint32(1), "\x0a\x00\x00\x01\x50\x00", uint8(0), uint8(0), uint16(0),
		uint8(2), float32(1), float64(0))
	update  = le(uint16(1030), uint8(0), uint32(1), uint8(2))
	killed  = le(uint16(1020))
	started = frame(1000, forOne, enlist, rows, update)
)

// inbound encodes an Inbound record; a negative segment makes it a search.
func inbound(id uint64, segment, share float32) []byte {
	return le(uint16(1070), id, uint8(0), uint16(0), uint64(0), float64(5000), float64(0), float32(1), segment, share, uint8(0))
}

// done encodes a Done record.
func done(id uint64, outcome uint8) []byte {
	return le(uint16(1100), id, outcome, "\x0a\x00\x00\x01\x50\x00", uint16(0), uint8(0), float64(10), uint8(0))
}

// play runs the frames in input and returns the codes of the records in each reply.
func play(t *testing.T, input ...[]byte) (codes [][]uint16, err error) {
	t.Helper()
	var out bytes.Buffer
	err = Run(bytes.NewReader(bytes.Join(input, nil)), &out)
	size := map[uint16]int{1070: 2, 1130: 22, 1100: 10, 1010: 16, 1060: 8, 1080: 9, 1050: 6, 1110: 1, 1020: 16}
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
	codes, err := play(t, frame(0), started, frame(1001, forOne, inbound(7, -1, 1), inbound(8, 0, 1)),
		frame(1100, forOne, done(8, 10)), frame(1101, forOne, le(uint16(1060), uint64(7))))
	if err != nil || len(codes) != 5 {
		t.Fatal(codes, err)
	}
	if got := codes[2]; len(got) != 3 || got[0] != 1070 || got[1] != 1130 || got[2] != 1020 {
		t.Errorf("reply to a search: %v, want From, Relay, Remind", got)
	}
	if got := codes[3]; len(got) != 2 || got[1] != 1080 {
		t.Errorf("reply to the result of its attempt: %v, want From, Merge", got)
	}
	if len(codes[0])+len(codes[4]) != 0 {
		t.Errorf("replies to an empty frame and to an event of a forgotten search: %v, %v, want none", codes[0], codes[4])
	}
}

func TestKilledInstanceStartsEmpty(t *testing.T) {
	codes, err := play(t, started, frame(1001, forOne, inbound(7, -1, 1), inbound(8, 0, 1)),
		frame(1002, forOne, killed, enlist, update), frame(1003, forOne, done(8, 10)))
	if err != nil || len(codes) != 4 || len(codes[3]) != 0 {
		t.Fatal(codes, err)
	}
}

func TestBadInputNamesTheRecord(t *testing.T) {
	for want, input := range map[string][]byte{
		"header was cut off":                   {1, 2},
		"body of 4294967295 bytes was cut off": le(uint32(math.MaxUint32), float64(1)),
		"Bell at byte 0":                       frame(1, le(uint16(1110), uint64(1))),
		"unknown code 7 at byte 4":             frame(1, forOne, le(uint16(7))),
		"at byte 4 overruns":                   frame(1, forOne, le(uint16(1040), uint64(1), uint32(math.MaxUint32))),
		"record 1090 at byte 0":                frame(1, le(uint16(1090), uint8(0), uint32(math.MaxUint32))),
		"list number 16":                       frame(1, le(uint16(1090), uint8(16), uint32(0))),
		"has no Enlist record":                 frame(1, forOne, update),
		"time is not a finite number":          frame(math.NaN()),
		"invalid outcome 11":                   append(bytes.Clone(started), frame(1001, forOne, done(8, 11))...),
	} {
		if _, err := play(t, input); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

// FuzzRun checks that no input makes a policy panic, and that all replies are complete.
func FuzzRun(f *testing.F) {
	whole := bytes.Join([][]byte{started, frame(1001, forOne, inbound(7, -1, 2), inbound(8, 0, 0.5), inbound(9, 0, 0.5)),
		frame(1100, forOne, done(8, 10), done(9, 20)), frame(1200, forOne, killed, enlist, update)}, nil)
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
