package control

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// coreLostAge is the age of the newest confirmation from which on a node counts as having lost the
	// core. The loss of one core machine makes it no older than about 3 s: the detector's time-out, the
	// agreement on the next view, and a poll.
	coreLostAge = 5 * time.Second
	// coreBackAge is the age that a confirmation must stay below for coreBackSpan before the node counts
	// as being in contact again. Both keep a link that comes and goes from writing a line each time.
	coreBackAge  = 3 * time.Second
	coreBackSpan = 5 * time.Second
)

// coreContactChange is what an observation of the newest confirmation has changed.
type coreContactChange int

const (
	coreContactUnchanged coreContactChange = iota
	coreContactLost
	coreContactRestored
)

// coreContact tells whether this node is in contact with the core, by the age of the newest
// confirmation of the state it holds. It only feeds the log: who may serve is decided by Bounds.
// The zero value is a node in contact; before the first confirmation ages count from time 0, the start
// of the process.
type coreContact struct {
	lost       bool
	lastBefore core.Time // the newest confirmation before the loss; 0: none
	isFresh    bool      // the latest age was below coreBackAge,
	freshSince core.Time // and has been since then
}

// observe takes the newest confirmation, 0 for none yet, and returns what has changed by it.
func (c *coreContact) observe(now, confirmedAt core.Time) coreContactChange {
	age := now - confirmedAt
	if !c.lost {
		if age < coreLostAge {
			return coreContactUnchanged
		}
		*c = coreContact{lost: true, lastBefore: confirmedAt}
		return coreContactLost
	}
	if age >= coreBackAge {
		c.isFresh = false
		return coreContactUnchanged
	}
	if !c.isFresh {
		c.isFresh = true
		c.freshSince = now
	}
	if now-c.freshSince < coreBackSpan {
		return coreContactUnchanged
	}
	c.lost = false
	return coreContactRestored
}

// logCoreContact writes one line when the core is lost and one when it is back.
func (n *Node) logCoreContact(now core.Time) {
	lastBefore := n.coreContact.lastBefore
	switch n.coreContact.observe(now, n.confirmedAt) {
	case coreContactLost:
		n.outbox.Add(core.Log{Message: "control: core lost", Fields: []any{
			"confirmation_age_ms", (now - n.confirmedAt).Milliseconds(), "ever_confirmed", n.confirmedAt != 0,
			"tried", n.distribution.FailedUpstreams(now),
		}})
	case coreContactRestored:
		n.outbox.Add(core.Log{Message: "control: core is back", Fields: []any{
			"confirmation_age_ms", (now - n.confirmedAt).Milliseconds(),
			"unconfirmed_ms", (n.coreContact.freshSince - lastBefore).Milliseconds(),
		}})
	}
}
