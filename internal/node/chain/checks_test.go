package chain_test

import (
	"fmt"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// checks verifies the guarantees of the control state from outside.
type checks struct {
	world              *world
	byIndex            map[uint64]string // command id and epoch
	byID               map[string]uint64 // index by command id
	rejected           map[string]string // result by id of a rejected command
	acknowledged       map[string]uint64 // index by command id
	acknowledgedByBase map[uint64]string // command id by base version
	newest             uint64            // index that an answer has shown
	views              map[uint64]string
	version            uint64    // of the newest committed entry
	versionCommittedAt core.Time // when that was committed
}

func newChecks(w *world) *checks {
	return &checks{
		world:              w,
		byIndex:            make(map[uint64]string),
		byID:               make(map[string]uint64),
		rejected:           make(map[string]string),
		acknowledged:       make(map[string]uint64),
		acknowledgedByBase: make(map[uint64]string),
		views:              make(map[uint64]string),
	}
}

func (c *checks) errorf(format string, arguments ...any) {
	c.world.logf("VIOLATION "+format, arguments...)
	c.world.t.Errorf(format, arguments...)
}

// applied is called at every node for every entry it applies, also while it replays its journal.
func (c *checks) applied(n *node, entry *nodepb.Entry) {
	id := entry.GetCommand().GetId()
	name := fmt.Sprintf("%s@%d", id, entry.GetEpoch())
	if known, ok := c.byIndex[entry.GetIndex()]; ok && known != name {
		c.errorf("%s commits %s at index %d, others %s", n.address, name, entry.GetIndex(), known)
	}
	if version := entry.GetCommand().GetConfigChange().GetVersion(); version > c.version {
		c.version = version
		c.versionCommittedAt = c.world.now
	}
	c.byIndex[entry.GetIndex()] = name
	c.byID[id] = entry.GetIndex()
	if how, ok := c.rejected[id]; ok {
		c.errorf("%s commits %s, which was rejected: %s", n.address, id, how)
	}
}

// published is called for each index that goes to the data plane of a node.
func (c *checks) published(n *node, index uint64) {
	if index < n.committed {
		c.errorf("%s goes back from %d to %d", n.address, n.committed, index)
	}
	n.committed = index
}

func (c *checks) observed(n *node, status chain.Status) {
	if status.Committed < n.committed {
		c.errorf("%s goes back from %d to %d", n.address, n.committed, status.Committed)
	}
	if status.View == n.view {
		return
	}
	n.view = status.View
	described := fmt.Sprint(status.View.GetChain(), status.View.GetVoters())
	if known, ok := c.views[status.Epoch]; ok && known != described {
		c.errorf("%s has view %s in epoch %d, others %s", n.address, described, status.Epoch, known)
	}
	c.views[status.Epoch] = described
}

// answered verifies the answer of a command that was submitted at the time asked.
func (c *checks) answered(command *nodepb.Command, asked core.Time, reply core.Reply) {
	id := command.GetId()
	change := command.GetConfigChange()
	code := reply.Result.GetCode()
	if code == nodepb.ResultCode_CONFLICT && change.GetBaseVersion() == c.version && c.versionCommittedAt <= asked {
		c.errorf("%s builds on the newest version %d and is rejected", id, c.version)
	}
	if code == nodepb.ResultCode_INVALID && change.GetVersion() > change.GetBaseVersion() {
		c.errorf("%s is called invalid", id)
	}
	switch reply.Result.GetCode() {
	case nodepb.ResultCode_TAKEN:
		c.takenAnswer(command)
	case nodepb.ResultCode_CONFLICT, nodepb.ResultCode_INVALID:
		if _, taken := c.byID[id]; taken {
			c.errorf("%s was accepted and is rejected: %v", id, reply.Result)
		}
		c.rejected[id] = reply.Result.GetCode().String()
	}
}

func (c *checks) takenAnswer(command *nodepb.Command) {
	id := command.GetId()
	index, taken := c.byID[id]
	if !taken {
		c.errorf("%s acknowledged but not accepted", id)
	}
	base := command.GetConfigChange().GetBaseVersion()
	if other, ok := c.acknowledgedByBase[base]; ok && other != id {
		c.errorf("%s and %s both acknowledged on version %d", other, id, base)
	}
	c.acknowledgedByBase[base] = id
	c.acknowledged[id] = index
	c.newest = max(c.newest, index)
}

// readAnswer verifies the answer of a read that was sent when the newest index shown was floor.
func (c *checks) readAnswer(floor uint64, reply core.Reply) (registerState, bool) {
	if reply.State == nil {
		return registerState{}, false
	}
	state, err := decodeRegister(reply.State.GetState())
	if err != nil {
		c.errorf("state can't be read: %v", err)
	}
	if reply.State.GetIndex() < floor {
		c.errorf("read shows index %d, but %d was shown before it was asked", reply.State.GetIndex(), floor)
	}
	for id, index := range c.acknowledged {
		if _, there := state.Taken[id]; !there && index <= reply.State.GetIndex() {
			c.errorf("acknowledged %s (index %d) is missing from the state at %d", id, index, reply.State.GetIndex())
		}
	}
	c.newest = max(c.newest, reply.State.GetIndex())
	return state, true
}
