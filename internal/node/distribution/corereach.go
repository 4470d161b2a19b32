package distribution

import (
	"time"

	"kestrelspread/internal/node/core"
)

// A node that reaches more than half of the core counts as in touch, and must not show an older state than what was acknowledged
// (RULES.md, "In touch"; hardening page, "losses may overlap"). While none of those machines can confirm the state, as the voters that
// are left are no majority, nobody can tell whether a newer one was acknowledged. A node that reaches less of the core is cut off, and
// may serve on.

const (
	// reachFreshness is how long a core machine counts as reached after its last reply to a poll.
	reachFreshness = 2 * time.Second
	// minUnconfirmedReach is how long more than half of the core must have been reached without a
	// confirmation before it counts as unable to give one.
	minUnconfirmedReach = time.Second
)

// coreReach is since when more than half of the core has been reached.
type coreReach struct {
	majority bool
	since    core.Time // valid if majority
}

// updateCoreReach records whether more than half of the core is reached now.
func (d *Distribution) updateCoreReach(now core.Time) {
	if 2*d.reachedCoreMachines(now) <= d.coreSize() {
		d.reach.majority = false
		return
	}
	if !d.reach.majority {
		d.reach = coreReach{majority: true, since: now}
	}
}

// coreSize is the number of core machines: of the members that count, or of the voters where these are more, as members that are
// cut off are taken for dead.
func (d *Distribution) coreSize() int {
	counting := 0
	for _, member := range d.members {
		if member.CountsForQuorum {
			counting++
		}
	}
	return max(counting, len(d.view.GetVoters()))
}

// reachedCoreMachines counts the core machines that have replied to a poll lately, this node included if it is one.
func (d *Distribution) reachedCoreMachines(now core.Time) int {
	reached := 0
	for _, member := range d.members {
		if !member.CountsForQuorum {
			continue
		}
		known := d.upstreams[member.Address]
		if member.Address == d.options.SelfAddress || known != nil && known.replied && now-known.repliedAt <= reachFreshness {
			reached++
		}
	}
	return reached
}

// CoreUnableToConfirm reports whether more than half of the core is reached, and has been for a while, but the state held here
// was last confirmed longer ago than maxAge.
func (d *Distribution) CoreUnableToConfirm(now core.Time, maxAge time.Duration) bool {
	d.updateCoreReach(now)
	if !d.reach.majority || now-d.reach.since < minUnconfirmedReach {
		return false
	}
	return !d.confirmed || now-d.confirmedAt >= maxAge
}
