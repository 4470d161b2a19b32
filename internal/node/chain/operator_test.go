package chain_test

import (
	"fmt"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// operator sends changes and reads, one after another, through machines it picks at random. A
// change without a final answer is sent again unchanged.
type operator struct {
	world          *world
	name           string
	through        []string // addresses of the machines it may call; nil: all
	interval       time.Duration
	count          int
	version        uint64 // the newest that it knows
	stopped        bool
	command        *nodepb.Command // without a final answer yet
	acknowledged   int
	acknowledgedAt core.Time     // when the newest acknowledgement was received
	longestGap     time.Duration // between two acknowledgements
	reads          int
	slowestCall    core.Time // that a call took to be answered in any way
}

func (w *world) newOperator(name string, interval time.Duration) *operator {
	o := &operator{world: w, name: name, interval: interval}
	w.after(time.Second, o.next)
	return o
}

func (o *operator) next() {
	if o.stopped {
		return
	}
	w := o.world
	through := o.through
	if through == nil {
		through = w.order
	}
	n := w.nodes[through[w.random.IntN(len(through))]]
	if !n.running {
		w.after(50*time.Millisecond, o.next)
		return
	}
	o.continueAfterTimeout()
	if o.command == nil && w.random.IntN(3) == 0 {
		o.read(n)
		return
	}
	o.change(n)
}

// continueAfterTimeout continues where the machine dies before it answers.
func (o *operator) continueAfterTimeout() {
	w := o.world
	attempt := o.count
	o.count++
	w.after(1500*time.Millisecond, func() {
		if o.count == attempt+1 {
			o.next()
		}
	})
}

func (o *operator) scheduleNext() {
	o.count++
	o.world.after(time.Duration(o.world.random.Int64N(int64(2*o.interval)+1)), o.next)
}

func (o *operator) read(n *node) {
	floor := o.world.checks.newest
	attempt := o.count
	asked := o.world.now
	n.call(nil, func(reply core.Reply) {
		o.slowestCall = max(o.slowestCall, o.world.now-asked)
		state, ok := o.world.checks.readAnswer(floor, reply)
		if o.count != attempt {
			return
		}
		if ok {
			o.version = state.Version
			o.reads++
		}
		o.scheduleNext()
	})
}

func (o *operator) change(n *node) {
	w := o.world
	if o.command == nil {
		o.command = o.newCommand()
	}
	command := o.command
	attempt := o.count
	asked := w.now
	n.call(command, func(reply core.Reply) {
		o.slowestCall = max(o.slowestCall, w.now-asked)
		w.checks.answered(command, asked, reply)
		if o.command == command {
			o.recordResult(reply.Result)
		}
		if o.count == attempt {
			o.scheduleNext()
		}
	})
}

func (o *operator) recordResult(result *nodepb.CommandResult) {
	switch result.GetCode() {
	case nodepb.ResultCode_TAKEN:
		o.acknowledged++
		o.longestGap = max(o.longestGap, o.world.now-o.acknowledgedAt)
		o.acknowledgedAt = o.world.now
		o.version = o.command.GetConfigChange().GetVersion()
		o.command = nil
	case nodepb.ResultCode_CONFLICT:
		o.version = result.GetVersion()
		o.command = nil
	case nodepb.ResultCode_INVALID:
		o.command = nil
	}
}

func (o *operator) newCommand() *nodepb.Command {
	w := o.world
	version := o.version + 1 + uint64(w.random.IntN(3))
	if w.random.IntN(10) == 0 {
		version = o.version
	}
	return &nodepb.Command{
		Id: fmt.Sprintf("%s-%d", o.name, o.count),
		Change: &nodepb.Command_ConfigChange{ConfigChange: &nodepb.ConfigChange{
			BaseVersion: o.version,
			Version:     version,
		}},
	}
}
