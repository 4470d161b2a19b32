package faultrun

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Result is what a run showed.
type Result struct {
	Plan    *Plan
	Breach  string // the first; empty: nothing was broken
	Trace   []string
	Changes int // acknowledged
	Reads   int
	Relayed int           // messages
	Longest time.Duration // that an order waited for its answer, troubles included
	Unclear bool          // the history was too long to be checked whole
}

// Play plays a plan. traced keeps a log of what happened.
func Play(plan *Plan, traced bool) *Result {
	w := newWorld(plan, traced)
	for _, t := range plan.Troubles {
		w.at(t.At, func() { w.bring(t) })
	}
	w.play(plan.Length+calmTail, w.goesOn)
	w.calm()
	return w.result()
}

// calm ends all troubles, and holds that everything works again within its time.
func (w *World) calm() {
	if !w.goesOn() {
		return
	}
	w.checks.answerLoss, w.checks.onAck = 0, nil
	w.quiet()
	clear(w.network.cuts)
	for _, m := range w.machines {
		if m.disk != nil && !m.removed {
			m.disk.SetFull(false)
			m.disk.SetFailing(false)
			m.sync, m.hangUntil = w.plan.Sync, min(m.hangUntil, w.now)
		}
		m.start()
	}
	began := w.now
	acked := w.checks.newestAcked()
	if w.beyond {
		w.play(began+calmTime, w.goesOn)
		return
	}
	w.play(began+calmTime/2, w.goesOn)
	if w.goesOn() && !w.whole() {
		w.fail("the core is not whole %v after the last trouble: %v", calmTime/2, w.describe())
	}
	w.play(began+calmTime, w.goesOn)
	if w.goesOn() && w.checks.newestAcked() == acked {
		w.fail("nothing was acknowledged in %v after the last trouble", calmTime)
	}
	w.endOrders()
}

// endOrders stops the operators and holds that the newest version can be read, at any machine.
func (w *World) endOrders() {
	for _, o := range w.operators {
		o.stopped = true
	}
	w.play(w.now+2*time.Second, w.goesOn)
	floor := w.checks.newestAcked()
	reader := &operator{world: w, number: 9, stopped: true}
	for range w.machines {
		reader.read()
		w.play(w.now+1500*time.Millisecond, w.goesOn)
	}
	if w.goesOn() && reader.known < floor {
		w.fail("the newest version %d is not read at the end, only %d", floor, reader.known)
	}
}

func (w *World) describe() string {
	var lines []string
	for _, m := range w.machines {
		if !m.counts || m.removed {
			continue
		}
		line := fmt.Sprintf("%s running %v", m.name, m.running)
		if m.running {
			status, ok := m.node.StoreStatus()
			line += fmt.Sprintf(" store %v epoch %d %v committed %d healthy %v wedged %v chain %d voters %d", ok, status.Epoch, status.Role,
				status.Committed, status.DiskHealthy, status.Wedged, len(status.View.GetChain()), len(status.View.GetVoters()))
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "; ")
}

func (w *World) result() *Result {
	r := &Result{Plan: w.plan, Trace: w.trace, Relayed: w.network.relayed, Longest: w.checks.longest}
	for _, o := range w.operators {
		r.Changes += o.acked
		r.Reads += o.reads
	}
	if w.goesOn() {
		switch w.history.linearizable(w.now) {
		case porcupine.Illegal:
			w.fail("no order of the changes and reads explains what operators saw")
		case porcupine.Unknown:
			r.Unclear = true
		}
	}
	r.Breach = w.breach
	return r
}

// Shrink cuts a plan that breaks something down to troubles without which nothing is broken. most bounds the plays.
func Shrink(plan *Plan, most int) *Plan {
	for width := max(1, len(plan.Troubles)/2); width >= 1; width /= 2 {
		for at := 0; at+width <= len(plan.Troubles) && most > 0; {
			smaller := *plan
			smaller.Troubles = slices.Delete(slices.Clone(plan.Troubles), at, at+width)
			most--
			if Play(&smaller, false).Breach == "" {
				at += width
				continue
			}
			plan = &smaller
		}
	}
	return plan
}
