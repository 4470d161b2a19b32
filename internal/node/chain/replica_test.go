package chain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// testReplica is one Replica alone, to which a test hands messages one by one, and whose writes the
// test completes.
type testReplica struct {
	t       *testing.T
	self    *nodepb.Voter
	replica *chain.Replica
	machine *register
	now     core.Time
	records []core.Record
	write   *core.Write // in flight
	sent    []core.Send // since the last takeSent
	pings   uint64
}

// voters a, b, c, d: disk "a" at address "addr-a", and so on.
func voter(name string) *nodepb.Voter {
	return &nodepb.Voter{DiskId: name, Address: "addr-" + name, NodeId: "node-" + name}
}

// testView makes a view of the voters, each one letter, with the chain.
func testView(epoch uint64, voters, chainOrder string) *nodepb.View {
	v := &nodepb.View{Epoch: epoch, MinChainLength: uint32(min(2, len(voters)))}
	for _, name := range voters {
		v.Voters = append(v.Voters, voter(string(name)))
	}
	for _, name := range chainOrder {
		v.Chain = append(v.Chain, string(name))
	}
	return v
}

func newTestReplica(t *testing.T, self *nodepb.Voter) *testReplica {
	t.Helper()
	m := &testReplica{t: t, self: self}
	m.start()
	return m
}

// newTestReplicaInView is a replica that has the view on its disk.
func newTestReplicaInView(t *testing.T, name string, installed *nodepb.View) *testReplica {
	t.Helper()
	m := newTestReplica(t, voter(name))
	m.receive("x", &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: installed}}})
	m.completeWrites()
	m.takeSent()
	return m
}

// start begins an incarnation with what is on the disk.
func (m *testReplica) start() {
	m.machine = newRegister()
	m.write = nil
	m.sent = nil
	replica, outputs, err := chain.New(m.now, chain.Options{
		Self: m.self, Tolerance: 1, StateMachine: m.machine,
	}, m.records, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(m.t, err)
	m.replica = replica
	m.collect(outputs)
}

func (m *testReplica) collect(outputs []core.Output) {
	for _, output := range outputs {
		switch output := output.(type) {
		case core.Send:
			output.Message = proto.CloneOf(output.Message)
			m.sent = append(m.sent, output)
		case core.Write:
			assert.Assert(m.t, m.write == nil, "one write at a time")
			m.write = &output
		}
	}
}

func (m *testReplica) receive(from string, envelope *nodepb.Envelope) {
	m.collect(m.replica.Receive(m.now, core.Peer{NodeID: "node-" + from, Address: "addr-" + from}, envelope))
}

// completeWrites completes writes until none is in flight.
func (m *testReplica) completeWrites() {
	for m.write != nil {
		write := m.write
		m.write = nil
		if write.Checkpoint {
			m.records = nil
		}
		m.records = append(m.records, write.Records...)
		m.collect(m.replica.Written(m.now, write.Token, nil))
	}
}

// takeSent returns what was sent since, each as "kind>address", without pings.
func (m *testReplica) takeSent() []string {
	var kinds []string
	for _, output := range m.sent {
		kind := fmt.Sprintf("%T", output.Message.GetBody())[len("*nodepb.Envelope_"):]
		if kind != "VoterPing" {
			kinds = append(kinds, kind+">"+output.Destination)
		}
	}
	m.sent = nil
	return kinds
}

// find returns the newest message sent that the picker takes.
func find[T any](m *testReplica, pick func(*nodepb.Envelope) *T) *T {
	for i := len(m.sent) - 1; i >= 0; i-- {
		if found := pick(m.sent[i].Message); found != nil {
			return found
		}
	}
	m.t.Helper()
	m.t.Fatalf("not sent, only %v", m.takeSent())
	return nil
}

func command(id string, base, version uint64) *nodepb.Command {
	return &nodepb.Command{Id: id, Change: &nodepb.Command_ConfigChange{
		ConfigChange: &nodepb.ConfigChange{BaseVersion: base, Version: version},
	}}
}

func entry(index, epoch uint64, id string) *nodepb.Entry {
	return &nodepb.Entry{
		Index: index, Epoch: epoch, Command: command(id, index-1, index),
		Origin: &nodepb.Origin{Address: "addr-api", Request: 40 + index},
	}
}

func appendOf(epoch uint64, e *nodepb.Entry, committed, committedEpoch uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Append{Append: &nodepb.Append{
		Epoch: epoch, Entry: e, Committed: committed, CommittedEpoch: committedEpoch,
	}}}
}

func noticeOf(epoch, index, entryEpoch uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_CommitNotice{CommitNotice: &nodepb.CommitNotice{
		Epoch: epoch, Index: index, EntryEpoch: entryEpoch,
	}}}
}

func prepareOf(epoch uint64, round uint64, base *nodepb.View) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Prepare{Prepare: &nodepb.Prepare{
		Epoch: epoch, Number: &nodepb.ProposalNumber{Counter: round, Proposer: "b"}, Base: base,
	}}}
}

func acceptOf(epoch uint64, round uint64, value *nodepb.View) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Accept{Accept: &nodepb.Accept{
		Epoch: epoch, Number: &nodepb.ProposalNumber{Counter: round, Proposer: "b"}, View: value,
	}}}
}

func readBarrier(epoch, committed, committedEpoch, last uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Barrier{Barrier: &nodepb.Barrier{
		Epoch: epoch, Origin: &nodepb.Origin{Address: "addr-api", Request: 9}, WantsState: true,
		Committed: committed, CommittedEpoch: committedEpoch, LastIndex: last, Number: 5,
	}}}
}

func submitOf(c *nodepb.Command) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Submit{Submit: &nodepb.Submit{Request: 7, Command: c}}}
}

func joinOf(name string, epoch, committed, committedEpoch uint64, reachable ...string) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_JoinRequest{JoinRequest: &nodepb.JoinRequest{
		Self: voter(name), Epoch: epoch, Committed: committed, CommittedEpoch: committedEpoch, Reachable: reachable,
	}}}
}
