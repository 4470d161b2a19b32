package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

func single(change func(*Options)) *Distribution {
	options := Options{SelfID: "self", SelfAddress: "self:7000", Zone: "a", State: &testState{}, Seeds: []string{"seed:7000"}}
	if change != nil {
		change(&options)
	}
	return New(0, options, rand.New(rand.NewPCG(1, 1)))
}

func TestRingKeepsNewestEntries(t *testing.T) {
	var kept ring
	for index := range uint64(maxRingEntries + 10) {
		kept.add(testEntry(index + 1))
	}
	assert.Equal(t, len(kept.entries), maxRingEntries)
	table := []struct {
		after    uint64
		complete bool
		count    int
	}{
		{0, false, 0}, {9, false, 0}, {10, true, maxRingEntries}, {100, true, 38}, {138, true, 0}, {139, false, 0},
	}
	for _, row := range table {
		entries, complete := kept.after(row.after)
		assert.Equal(t, complete, row.complete, row.after)
		assert.Equal(t, len(entries), row.count, row.after)
		if row.count > 0 {
			assert.Equal(t, entries[0].Index, row.after+1)
		}
	}
}

func TestRingIsBoundedInBytesButKeepsNewestEntry(t *testing.T) {
	var kept ring
	for index := range uint64(20) {
		body := make([]byte, maxRingBytes/4)
		kept.add(&nodepb.Entry{Index: index + 1, Command: &nodepb.Command{Change: &nodepb.Command_ConfigChange{
			ConfigChange: &nodepb.ConfigChange{Body: body}}}})
		assert.Assert(t, kept.bytes <= maxRingBytes)
	}
	assert.Equal(t, len(kept.entries), 3)
	kept.add(&nodepb.Entry{Index: 21, Command: &nodepb.Command{Change: &nodepb.Command_ConfigChange{
		ConfigChange: &nodepb.ConfigChange{Body: make([]byte, 2*maxRingBytes)}}}})
	assert.Equal(t, len(kept.entries), 1)
	assert.Equal(t, kept.lastIndex(), uint64(21))
}

func TestRingDropsEntriesBeforeGap(t *testing.T) {
	var kept ring
	kept.add(testEntry(1))
	kept.add(testEntry(5))
	entries, complete := kept.after(4)
	assert.Assert(t, complete)
	assert.Equal(t, len(entries), 1)
	_, complete = kept.after(1)
	assert.Assert(t, !complete)
}

func view(epoch uint64, chain ...string) *nodepb.View {
	made := &nodepb.View{Epoch: epoch, Chain: chain}
	for _, disk := range chain {
		made.Voters = append(made.Voters, &nodepb.Voter{DiskId: disk, Address: disk + ":7000", NodeId: "node-" + disk})
	}
	return made
}

func candidateAddresses(d *Distribution) []string {
	var addresses []string
	for _, candidate := range d.candidates {
		addresses = append(addresses, candidate.address)
	}
	return addresses
}

func TestUpstreamPreferenceOrder(t *testing.T) {
	machine := func(disk string) *nodepb.Member {
		return &nodepb.Member{NodeId: "node-" + disk, Address: disk + ":7000", Zone: "z", CountsForQuorum: true,
			ServesFront: true, DiskId: disk}
	}
	moved := machine("d2")
	moved.Address = "new:7000"
	table := []struct {
		name    string
		change  func(*Options)
		members []*nodepb.Member
		view    *nodepb.View
		want    []string
	}{
		{"nobody known", nil, nil, nil, []string{"seed:7000"}},
		{"only the view known", nil, nil, view(1, "d1", "d2", "d3"), []string{"d3:7000", "d2:7000", "d1:7000"}},
		{"a machine at a new address", nil, []*nodepb.Member{moved}, view(1, "d1", "d2"), []string{"new:7000", "d1:7000"}},
		{"a machine outside of the chain comes last", nil, []*nodepb.Member{machine("d0"), machine("d1")}, view(1, "d1"),
			[]string{"d1:7000", "d0:7000"}},
		{"the tail itself", func(o *Options) { o.CountsForQuorum, o.SelfDiskID, o.SelfAddress = true, "d2", "d2:7000" }, nil,
			view(1, "d1", "d2"), []string{"d1:7000"}},
		{"a machine of the core", func(o *Options) { o.CountsForQuorum, o.SelfDiskID, o.SelfAddress = true, "d1", "d1:7000" }, nil,
			view(1, "d1", "d2", "d3"), []string{"d3:7000", "d2:7000"}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			d := single(row.change)
			d.SetMembers(0, row.members)
			d.SetView(0, row.view)
			assert.DeepEqual(t, candidateAddresses(d), row.want)
		})
	}
}

// No two nodes of a zone have each other as upstream: each polls nodes that rank before it.
func TestZoneUpstreamsFormTree(t *testing.T) {
	var members []*nodepb.Member
	for number := range 80 {
		members = append(members, &nodepb.Member{NodeId: fmt.Sprint(number), Address: fmt.Sprint(number), Zone: "a", ServesFront: true})
	}
	children := map[string]int{}
	for _, self := range members {
		d := single(func(o *Options) { o.SelfID, o.SelfAddress = self.NodeId, self.Address })
		d.SetMembers(0, members)
		ranking := d.zoneRanking()
		position := map[string]int{}
		for at, address := range ranking {
			position[address] = at
		}
		addresses := d.zoneParentAddresses()
		for _, address := range addresses {
			assert.Assert(t, position[address] < position[self.Address])
		}
		if len(addresses) > 0 {
			children[addresses[0]]++
		}
	}
	for address, count := range children {
		assert.Assert(t, count <= treeFanOut, "%s: %d", address, count)
	}
}

func TestTailIsIdentifiedByDisk(t *testing.T) {
	counts := func(disk string) func(*Options) {
		return func(o *Options) { o.CountsForQuorum, o.SelfDiskID, o.SelfAddress = true, disk, "d2:7000" }
	}
	table := []struct {
		name   string
		change func(*Options)
		want   bool
	}{
		{"last of the chain", counts("d2"), true},
		{"another disk at its address", counts("d9"), false},
		{"known by its address alone", counts(""), true},
		{"not of the core", func(o *Options) { o.SelfAddress = "d2:7000" }, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			d := single(row.change)
			assert.Assert(t, !d.Tail(), "without a view")
			d.SetView(0, view(1, "d1", "d2"))
			assert.Equal(t, d.Tail(), row.want)
		})
	}
}

func reply(nonce, index uint64, age uint32) *nodepb.Envelope {
	message := &nodepb.StatePollReply{Nonce: nonce, Index: index, Confirmed: true, AgeMs: age}
	return &nodepb.Envelope{Body: &nodepb.Envelope_StatePollReply{StatePollReply: message}}
}

// The age counts from when the poll was sent, and only for a state that this node holds.
func TestConfirmationCountsFromPoll(t *testing.T) {
	seed := core.Peer{NodeID: "seed", Address: "seed:7000"}
	d := single(nil)
	poll := d.Tick(time.Second)[0].(core.Send).Message.GetStatePoll()

	d.Receive(1500*time.Millisecond, seed, reply(poll.Nonce+1, 0, 0))
	_, confirmed := d.ConfirmedAt()
	assert.Assert(t, !confirmed, "an answer to no poll")

	d.Receive(1500*time.Millisecond, seed, reply(poll.Nonce, 1, 100))
	_, confirmed = d.ConfirmedAt()
	assert.Assert(t, !confirmed, "a state that is not held")

	poll = d.Tick(d.Deadline())[0].(core.Send).Message.GetStatePoll()
	sent := d.round.pending[0].sentAt
	d.Receive(sent+300*time.Millisecond, seed, reply(poll.Nonce, 0, 100))
	at, confirmed := d.ConfirmedAt()
	assert.Assert(t, confirmed)
	assert.Equal(t, at, sent-100*time.Millisecond)

	d.Receive(sent+400*time.Millisecond, seed, reply(poll.Nonce, 0, 0))
	again, _ := d.ConfirmedAt()
	assert.Equal(t, again, at, "an answer that came twice")
}

func TestOlderStatesAreIgnored(t *testing.T) {
	d := single(nil)
	outputs := d.Installed(0, &nodepb.StateSnapshot{Index: 5, State: (&testState{index: 5}).Snapshot()})
	assert.DeepEqual(t, outputs, []core.Output{core.StateChanged{}})
	for _, index := range []uint64{3, 5} {
		outputs = d.Installed(0, &nodepb.StateSnapshot{Index: index, State: (&testState{index: index}).Snapshot()})
		assert.Equal(t, len(outputs), 0)
	}
	for _, index := range []uint64{4, 5, 7} {
		assert.Equal(t, len(d.Committed(0, testEntry(index))), 0)
	}
	assert.DeepEqual(t, d.Committed(0, testEntry(6)), []core.Output{core.StateChanged{}})
	assert.Equal(t, d.Index(), uint64(6))
}

func TestUnreadableSnapshotIsReported(t *testing.T) {
	d := single(nil)
	outputs := d.Installed(0, &nodepb.StateSnapshot{Index: 5, State: []byte{1}})
	assert.Equal(t, len(outputs), 1)
	_, isLog := outputs[0].(core.Log)
	assert.Assert(t, isLog)
	assert.Equal(t, d.Index(), uint64(0))
}

func TestOlderViewsAreIgnored(t *testing.T) {
	d := single(nil)
	d.SetView(0, view(2, "d1"))
	d.SetView(0, view(1, "d2"))
	d.SetView(0, nil)
	assert.Equal(t, d.View().Epoch, uint64(2))
}

// A longer ConfirmationAge takes fewer barriers.
func TestConfirmationAgeIsAnOption(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * time.Second} {
		d := single(func(o *Options) { o.CountsForQuorum, o.SelfDiskID, o.ConfirmationAge = true, "d1", age })
		d.SetView(0, view(1, "d1"))
		wanted := 0
		for d.Deadline() < 20*time.Second {
			now := d.Deadline()
			for _, output := range d.Tick(now) {
				if _, ok := output.(core.RequestBarrier); ok {
					wanted++
					d.LocalConfirmed(now, now)
				}
			}
		}
		if age == 0 {
			assert.Assert(t, wanted > 30, wanted)
		} else {
			assert.Assert(t, wanted <= 10, wanted)
		}
	}
}
