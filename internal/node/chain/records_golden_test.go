package chain_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const goldenRecords = "golden/records.txt"

// The kinds of records, as journals hold them.
const (
	goldenFounding = 1
	goldenView     = 2
	goldenAcceptor = 3
	goldenWedge    = 4
	goldenState    = 5
	goldenEntry    = 6
	goldenDrop     = 7
	goldenCaughtUp = 8
)

// goldenCase is one start of a voter: from records, written by the field numbers of the schema, and
// with messages after it.
type goldenCase struct {
	name     string
	founding bool
	records  []core.Record
	messages [][]byte // envelopes that come from the head
}

// goldenCases have records of every kind, read and written.
func goldenCases(t *testing.T) []goldenCase {
	acceptor := wireRecord(goldenAcceptor, wireNumber(1, 8), wireMessage(2, wireProposalNumber(9, "disk-a")),
		wireMessage(3, wireProposalNumber(4, "disk-c")), wireMessage(4, wireView(8, "disk-a", "disk-b")))
	state := wireRecord(goldenState, wireNumber(1, 4), wireNumber(2, 6), wireText(3, stateOfEntries(t, 4)))
	return []goldenCase{
		{name: "first-start", founding: true},
		{name: "founding", founding: true, records: []core.Record{
			wireRecord(goldenFounding, wireText(1, "10.0.0.1:7560"), wireText(1, "10.0.0.2:7560"), wireText(1, "10.0.0.3:7560")),
			wireRecord(goldenAcceptor, wireNumber(1, 1), wireMessage(2, wireProposalNumber(3, "10.0.0.1:7560"))),
		}},
		{name: "member", records: []core.Record{
			wireRecord(goldenView, wireView(6, "disk-a", "disk-b")),
			state,
			wireRecord(goldenView, wireView(7, "disk-a", "disk-b", "disk-c")),
			acceptor,
			wireRecord(goldenWedge, wireNumber(1, 7)),
			wireRecord(goldenCaughtUp, wireNumber(1, 6)),
			wireRecord(goldenEntry, wireGoldenEntry(5, 6)),
			wireRecord(goldenEntry, wireGoldenEntry(5, 7)), // replaces the one before
			wireRecord(goldenEntry, wireGoldenEntry(6, 7)), // commits the one before
		}},
		{name: "dropped", records: []core.Record{
			wireRecord(goldenView, wireView(7, "disk-a", "disk-c")),
			state,
			wireRecord(goldenEntry, wireGoldenEntry(5, 6)),
			wireRecord(goldenEntry, wireGoldenEntry(6, 6)),
			wireRecord(goldenDrop, wireNumber(1, 6), wireNumber(2, 6)),
			wireRecord(goldenWedge, wireNumber(1, 6)), // of an epoch that is over
		}},
		{name: "joiner", records: []core.Record{
			wireRecord(goldenView, wireView(7, "disk-a", "disk-c")),
			state,
			wireRecord(goldenEntry, wireGoldenEntry(5, 6)),
		}, messages: [][]byte{
			wireCatchUp(wireNumber(3, 4), wireNumber(7, 6)), // the head lacks the entry
			wireCatchUp(wireNumber(3, 9), wireNumber(7, 7), wireText(4, stateOfEntries(t, 9)), wireNumber(8, 1), wireMessage(6, wireGoldenEntry(10, 7))),
			wireMessage(22, wireNumber(1, 8), wireMessage(2, wireProposalNumber(2, "disk-a"))),
			wireMessage(24, wireNumber(1, 8), wireMessage(2, wireProposalNumber(2, "disk-a")), wireMessage(3, wireView(8, "disk-a", "disk-b", "disk-c"))),
			wireMessage(26, wireMessage(1, wireView(8, "disk-a", "disk-b", "disk-c"))),
			wireMessage(40, wireNumber(1, 8), wireMessage(2, wireGoldenEntry(10, 8)), wireNumber(3, 9), wireNumber(4, 7)),
			wireMessage(40, wireNumber(1, 8), wireMessage(2, wireGoldenEntry(11, 8)), wireNumber(3, 10), wireNumber(4, 8)),
		}},
	}
}

// TestRecordsKeepTheirBytes freezes what a voter writes to its journal, and what it makes of
// records of every kind.
func TestRecordsKeepTheirBytes(t *testing.T) {
	var lines strings.Builder
	for _, c := range goldenCases(t) {
		for _, record := range c.records {
			fmt.Fprintf(&lines, "%s read %s\n", c.name, recordText(record))
		}
		written, kept := c.play(t)
		for _, record := range written {
			fmt.Fprintf(&lines, "%s written %s\n", c.name, recordText(record))
		}
		for _, record := range kept {
			fmt.Fprintf(&lines, "%s kept %s\n", c.name, recordText(record))
		}
	}
	golden.Assert(t, lines.String(), goldenRecords)
}

// TestRecordsOfTheGoldenFileAreRead starts voters from the records as they were written once: what
// they keep is the same.
func TestRecordsOfTheGoldenFileAreRead(t *testing.T) {
	read, kept := map[string][]core.Record{}, map[string][]core.Record{}
	kinds := map[uint8]bool{}
	for line := range strings.Lines(string(golden.Get(t, goldenRecords))) {
		var name, use, digits string
		var record core.Record
		_, err := fmt.Sscan(line, &name, &use, &record.Kind, &digits)
		assert.NilError(t, err, "%q", line)
		record.Data, err = hex.DecodeString(digits)
		assert.NilError(t, err)
		kinds[record.Kind] = true
		switch use {
		case "read":
			read[name] = append(read[name], record)
		case "kept":
			kept[name] = append(kept[name], record)
		}
	}
	assert.Equal(t, len(kinds), 8)
	for _, c := range goldenCases(t) {
		assert.Equal(t, recordsText(read[c.name]), recordsText(c.records))
		again := goldenCase{name: c.name, founding: c.founding, records: kept[c.name]}
		_, keptAgain := again.play(t)
		assert.Equal(t, recordsText(keptAgain), recordsText(kept[c.name]), c.name)
	}
}

// play starts a voter, hands it the messages, and has it write all that it must keep.
func (c *goldenCase) play(t *testing.T) (written, kept []core.Record) {
	t.Helper()
	now := core.Time(time.Second)
	self := new(nodepb.Voter)
	assert.NilError(t, proto.Unmarshal(wireVoter("disk-b"), self))
	replica, outputs, err := chain.New(now, chain.Options{
		Self:             self,
		FounderAddresses: []string{"10.0.0.1:7560", "10.0.0.2:7560", "10.0.0.3:7560"},
		Founding:         c.founding,
		Tolerance:        1,
		StateMachine:     config.NewState(nil),
	}, c.records, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err, c.name)
	written = writeAll(replica, now, outputs)
	for _, message := range c.messages {
		envelope := new(nodepb.Envelope)
		assert.NilError(t, proto.Unmarshal(message, envelope))
		outputs := replica.Receive(now, core.Peer{Address: addressOfDisk("disk-a")}, envelope)
		written = append(written, writeAll(replica, now, outputs)...)
	}
	return written, writeAll(replica, now, replica.RequestCheckpoint(now))
}

// writeAll carries the writes of outputs out, and those that follow from them, and returns their
// records.
func writeAll(replica *chain.Replica, now core.Time, outputs []core.Output) (records []core.Record) {
	for len(outputs) > 0 {
		if write, ok := outputs[0].(core.Write); ok {
			records = append(records, write.Records...)
			outputs = append(outputs, replica.Written(now, write.Token, nil)...)
		}
		outputs = outputs[1:]
	}
	return records
}

func recordText(record core.Record) string {
	return fmt.Sprintf("%d %s", record.Kind, hex.EncodeToString(record.Data))
}

func recordsText(records []core.Record) string {
	var lines []string
	for _, record := range records {
		lines = append(lines, recordText(record))
	}
	return strings.Join(lines, "\n")
}

// stateOfEntries is the snapshot of the state after so many entries.
func stateOfEntries(t *testing.T, count uint64) string {
	t.Helper()
	state := config.NewState(nil)
	for index := uint64(1); index <= count; index++ {
		entry := new(nodepb.Entry)
		assert.NilError(t, proto.Unmarshal(wireGoldenEntry(index, 6), entry))
		assert.Equal(t, int(state.Apply(entry).GetCode()), 1)
	}
	return string(state.Snapshot())
}

// wireGoldenEntry is an entry with a command of one of the four kinds, by index.
func wireGoldenEntry(index, epoch uint64) []byte {
	var base []byte // of a configuration: the version that every fourth entry before gave
	if index > 1 {
		base = wireNumber(2, index)
	}
	commands := [][]byte{
		wireMessage(5, wireText(1, fmt.Sprintf("zone-%d", index)), wireText(2, "zone"), wireNumber(4, 100*index)),
		wireMessage(2, wireNumber(1, 1), base, wireText(4, fmt.Sprintf(`{"version":%d,"services":[{"name":"s-%d"}]}`, index+4, index))),
		wireMessage(3, wireText(1, "daka510000"), wireNumber(2, 1+index)),
		wireMessage(4, wireText(1, "weights"), wireText(2, "node-1#7"), wireNumber(3, index), wireText(5, "i-1"), wireText(6, "i-2")),
	}
	command := append(wireText(1, fmt.Sprintf("command-%d", index)), commands[index%4]...)
	origin := append(wireText(1, "10.0.1.1:7560"), wireNumber(2, 40+index)...)
	return bytes.Join([][]byte{wireNumber(1, index), wireNumber(2, epoch), wireMessage(3, command), wireMessage(4, origin)}, nil)
}

func wireCatchUp(parts ...[]byte) []byte {
	return wireMessage(28, append([][]byte{wireNumber(1, 7), wireNumber(2, 3)}, parts...)...)
}

// wireView is a view of three voters with that chain.
func wireView(epoch uint64, disks ...string) []byte {
	view := wireNumber(1, epoch)
	for _, disk := range []string{"disk-a", "disk-b", "disk-c"} {
		view = append(view, wireMessage(2, wireVoter(disk))...)
	}
	for _, disk := range disks {
		view = append(view, wireText(3, disk)...)
	}
	return bytes.Join([][]byte{view, wireText(4, "disk-z"), wireNumber(5, 2), wireText(6, "disk-c"), wireNumber(7, 1)}, nil)
}

func wireVoter(disk string) []byte {
	return bytes.Join([][]byte{wireText(1, disk), wireText(2, addressOfDisk(disk)), wireText(3, "node-"+disk+"#1")}, nil)
}

func addressOfDisk(disk string) string {
	return fmt.Sprintf("10.0.0.%d:7560", 1+disk[len(disk)-1]-'a')
}

func wireProposalNumber(counter uint64, proposer string) []byte {
	return append(wireNumber(1, counter), wireText(2, proposer)...)
}

func wireRecord(kind uint8, parts ...[]byte) core.Record {
	return core.Record{Kind: kind, Data: bytes.Join(parts, nil)}
}

func wireNumber(field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, field, protowire.VarintType), value)
}

func wireText(field protowire.Number, text string) []byte {
	return protowire.AppendString(protowire.AppendTag(nil, field, protowire.BytesType), text)
}

func wireMessage(field protowire.Number, parts ...[]byte) []byte {
	return wireText(field, string(bytes.Join(parts, nil)))
}
