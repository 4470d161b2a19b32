// Package membership is who votes: how a group is founded, how a voter whose disk is gone comes back, how one is added. It is a
// reducer: what voters say of themselves and what is agreed go in, steps come out.
//
// A number belongs to a disk, drawn when the disk is made and never given out again. So whoever has lost its disk has another
// number, knows nothing, and learns before it votes: it can't vote twice in a term. A group is founded once, by the voter that
// is named first, when all that are named have said that theirs are new; the others take the founding up only if it names the
// numbers of their own disks.
package membership

import "slices"

// Hello is what a voter says of itself. Group 0: its disk belongs to none yet. Voters: those of the founding, if it knows them.
type Hello struct {
	Name     string            `json:"name"`
	VoterID  uint64            `json:"id"`
	GroupID  uint64            `json:"group,omitempty"`
	Founders map[uint64]string `json:"voters,omitempty"`
}

// Config are times in ms.
type Config struct {
	HelloTTLMs      float64 // what was said so long ago is no news
	ReplaceAfterMs  float64 // a number not heard of for so long may be replaced by another of its name
	RetryIntervalMs float64 // before a step that has led to nothing is taken again
}

// DefaultConfig are the rules that voters go by.
var DefaultConfig = Config{HelloTTLMs: 4000, ReplaceAfterMs: 10000, RetryIntervalMs: 2000}

// StepKind of a step.
type StepKind uint8

const (
	StepBootstrap  StepKind = iota + 1 // write the founding to the own disk, in a group to be drawn
	StepJoin                           // write another's founding to the own disk; without Voters: learn from it
	StepNameVoter                      // agree that ID is Who's
	StepAddLearner                     // ID is to learn
	StepPromote                        // ID, which has learnt, is to vote; in Gone's place if that is not 0
)

// Step is what is to be done.
type Step struct {
	Kind                StepKind
	VoterID, ReplacedID uint64
	Name                string
	GroupID             uint64
	Founders            map[uint64]string
}

// View is what is agreed, as a leader knows it.
type View struct {
	IsLeader         bool
	Voters, Learners []uint64
	VoterNames       map[uint64]string
	CaughtUp         func(id uint64) bool
}

type receivedHello struct {
	hello      Hello
	receivedAt float64
}

// Reconciler is one voter's view of the others.
type Reconciler struct {
	config      Config
	self        Hello
	voterNames  []string
	hellos      map[string]receivedHello
	lastContact map[uint64]float64 // by number: when it was last heard of; those of the names' latest few disks
	startedAt   float64            // when this view began
	lastStep    Step
	lastStepAt  float64 // of the latest step
}

const maxTrackedIDs = 1000

// New is the view of a voter, which is among the names, at a time. Names are in the order of the operator's file.
func New(rules Config, own Hello, names []string, now float64) *Reconciler {
	return &Reconciler{config: rules, self: own, voterNames: names, hellos: map[string]receivedHello{}, lastContact: map[uint64]float64{}, startedAt: now,
		lastStepAt: now - rules.RetryIntervalMs}
}

// Self is what this voter says.
func (r *Reconciler) Self() Hello { return r.self }

// SetGroup: the own disk belongs to a group now.
func (r *Reconciler) SetGroup(group uint64, voters map[uint64]string) {
	r.self.GroupID, r.self.Founders = group, voters
}

// HandleHello takes what another voter says. Who is not named, or speaks in this one's name, is not listened to.
func (r *Reconciler) HandleHello(now float64, h Hello) {
	if h.VoterID == 0 || h.Name == r.self.Name || !slices.Contains(r.voterNames, h.Name) {
		return
	}
	r.hellos[h.Name] = receivedHello{h, now}
	if len(r.lastContact) >= maxTrackedIDs {
		clear(r.lastContact)
		r.startedAt = now
	}
	r.lastContact[h.VoterID] = now
}

// Of gives the number under which a voter was last heard of; 0: never.
func (r *Reconciler) VoterID(name string) uint64 { return r.hellos[name].hello.VoterID }

// VoterName gives the name that a number was heard under.
func (r *Reconciler) VoterName(id uint64) string {
	for _, n := range r.voterNames {
		if r.hellos[n].hello.VoterID == id {
			return n
		}
	}
	return ""
}

// SinceContact is since when a number was last heard of, in ms; below 0: never, or the own.
func (r *Reconciler) SinceContact(now float64, id uint64) float64 {
	if at, known := r.lastContact[id]; known {
		return now - at
	}
	return -1
}

// presumedGone: nothing was heard of a number for so long that its disk may be taken to be gone.
func (r *Reconciler) presumedGone(now float64, id uint64) bool {
	at, known := r.lastContact[id]
	if !known {
		at = r.startedAt
	}
	return now-at > r.config.ReplaceAfterMs
}

// NextStep gives the one step that is due, if one is.
func (r *Reconciler) NextStep(now float64, v View) (Step, bool) {
	if now < r.lastStepAt+r.config.RetryIntervalMs {
		return Step{}, false
	}
	s, due := r.memberStep(now, v)
	if due {
		r.lastStep, r.lastStepAt = s, now
	}
	return s, due
}

func (r *Reconciler) memberStep(now float64, v View) (Step, bool) {
	if r.self.GroupID == 0 {
		return r.joinStep(now)
	}
	if !v.IsLeader {
		return Step{}, false
	}
	for _, name := range r.voterNames {
		h := r.hellos[name]
		id := h.hello.VoterID
		if id == 0 || now-h.receivedAt > r.config.HelloTTLMs || h.hello.GroupID != r.self.GroupID || slices.Contains(v.Voters, id) {
			continue
		}
		switch {
		case v.VoterNames[id] != name:
			return Step{Kind: StepNameVoter, VoterID: id, Name: name}, true
		case !slices.Contains(v.Learners, id):
			return Step{Kind: StepAddLearner, VoterID: id, Name: name}, true
		case !v.CaughtUp(id):
			continue
		}
		gone, wait := uint64(0), false
		for _, old := range v.Voters {
			if v.VoterNames[old] == name {
				// Two processes under one name, each with a disk of its own, must not push each other out in turn.
				if gone = old; !r.presumedGone(now, old) {
					wait = true
				}
			}
		}
		if !wait {
			return Step{Kind: StepPromote, VoterID: id, ReplacedID: gone, Name: name}, true
		}
	}
	return Step{}, false
}

// joinStep is for a disk that belongs to no group.
func (r *Reconciler) joinStep(now float64) (Step, bool) {
	others, fresh := 0, 0
	for _, name := range r.voterNames {
		if name == r.self.Name {
			continue
		}
		others++
		h := r.hellos[name]
		if h.hello.VoterID == 0 || now-h.receivedAt > r.config.HelloTTLMs {
			continue
		}
		if g := h.hello.GroupID; g != 0 {
			s := Step{Kind: StepJoin, GroupID: g}
			if h.hello.Founders[r.self.VoterID] == r.self.Name {
				s.VoterID, s.Founders = r.self.VoterID, h.hello.Founders
			}
			if plantByName { // a defect to be found: whoever lost its disk takes up its old number, and may vote twice
				for id, who := range h.hello.Founders {
					if who == r.self.Name {
						s.VoterID, s.Founders = id, h.hello.Founders
					}
				}
			}
			return s, true
		}
		fresh++
	}
	if fresh < others || r.self.Name != r.voterNames[0] {
		return Step{}, false
	}
	voters := map[uint64]string{r.self.VoterID: r.self.Name}
	for _, name := range r.voterNames {
		if name != r.self.Name {
			voters[r.hellos[name].hello.VoterID] = name
		}
	}
	if len(voters) != len(r.voterNames) {
		return Step{}, false // two disks of one number: one is a copy of the other
	}
	return Step{Kind: StepBootstrap, Founders: voters}, true
}
