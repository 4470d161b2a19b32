package faultrun

import (
	"fmt"
	"io"
	"strings"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

const timelineInterval = time.Second

// Timeline runs a plan and prints a table of its core by second: acknowledgements so far, and of each core machine whether it
// runs, which others it reaches, its disk, its view, and what it waits for. The error is ErrViolation if the plan violates
// something.
func Timeline(out io.Writer, plan *Plan) error {
	sim := newSimulation(plan, false)
	for _, fault := range plan.Faults {
		sim.schedule(fault.InjectAt, func() {
			fmt.Fprintf(out, "%8.3f  %v A:%d B:%d for %v variant %d\n", sim.now.Seconds(), fault.Kind, fault.TargetA, fault.TargetB, fault.Duration.Round(time.Millisecond), fault.Variant)
		})
	}
	sim.every(timelineInterval, func() bool {
		sim.printTimelineRow(out)
		return true
	})
	sim.play()
	if !sim.holds() {
		return fmt.Errorf("%w: %s", ErrViolation, sim.violation)
	}
	return nil
}

// printTimelineRow prints the state of the core at this moment.
func (sim *simulation) printTimelineRow(out io.Writer) {
	orders := ""
	for _, o := range sim.operators {
		if sent := o.currentOrder; sent != nil && !sent.finished {
			orders += fmt.Sprintf(", %s waits for %v", sent.id, (sim.now - sent.sentAt).Round(time.Millisecond))
		}
	}
	fmt.Fprintf(out, "%8.3f  version %d acknowledged%s\n", sim.now.Seconds(), sim.checks.newestAcked(), orders)
	for _, m := range sim.coreMachines() {
		fmt.Fprintf(out, "          %-9s reaches %-22s disk %-8s %s\n", m.name, sim.reachedNames(m), m.diskState(), m.waitsFor())
	}
}

// reachedNames lists the core machines that run and are connected with the machine in both directions, by their numbers.
func (sim *simulation) reachedNames(m *machine) string {
	if !m.isUp() {
		return "-"
	}
	var names []string
	for _, other := range sim.coreMachines() {
		if other != m && other.isUp() && sim.health.connected(m, other) {
			names = append(names, strings.TrimPrefix(other.name, "core-"))
		}
	}
	return strings.Join(names, ",")
}

// diskState names what is wrong with the disk at present.
func (m *machine) diskState() string {
	switch {
	case m.diskHangsUntil > m.sim.now:
		return "hangs"
	case m.syncDuration > m.soundSyncDuration():
		return "slow"
	case m.disk.Refusal() != nil:
		return "refuses"
	case m.isUp() && m.journal == nil:
		return "unopened"
	default:
		return "works"
	}
}

// waitsFor describes the machine's view, its place in it, and what it waits for.
func (m *machine) waitsFor() string {
	switch {
	case !m.running:
		return "down"
	case !m.isUp():
		return fmt.Sprintf("frozen for %v", (m.frozenUntil - m.sim.now).Round(time.Millisecond))
	}
	status, attached := m.node.StoreStatus()
	if !attached {
		return "waits for its disk"
	}
	if status.View == nil {
		return "waits for a view"
	}
	return fmt.Sprintf("epoch %d %s, chain %s, voters %s, committed %d: %s", status.Epoch, status.Role,
		describeDisks(status.View, status.View.GetChain()), describeDisks(status.View, voterDisks(status.View)), status.Committed, waitReason(status))
}

// waitReason names what a machine with a view waits for.
func waitReason(status chain.Status) string {
	switch {
	case status.Wedged:
		return "waits for agreement on the next view"
	case !status.DiskHealthy:
		return "waits for its disk"
	case status.Role == chain.OutsideChain:
		return "waits to join"
	case !view.CanAcknowledge(status.View):
		return fmt.Sprintf("waits for a chain of %d", status.View.GetMinChainLength())
	case status.HasPending:
		return "waits for its pending entry"
	default:
		return "ready"
	}
}

func voterDisks(v *nodepb.View) []string {
	var disks []string
	for _, voter := range v.GetVoters() {
		disks = append(disks, voter.GetDiskId())
	}
	return disks
}

// describeDisks names the machines that the view has for the disks, and the first letters of each disk's id, as a machine may
// have another disk by now.
func describeDisks(v *nodepb.View, disks []string) string {
	var names []string
	for _, diskID := range disks {
		name := "?"
		for _, voter := range v.GetVoters() {
			if voter.GetDiskId() == diskID {
				name, _, _ = strings.Cut(strings.TrimPrefix(voter.GetAddress(), "core-"), ":")
			}
		}
		names = append(names, name+"/"+diskID[:min(4, len(diskID))])
	}
	return strings.Join(names, ",")
}
