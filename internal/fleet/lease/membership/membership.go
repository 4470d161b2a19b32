// Package membership decides who is a member of the voters' raft group: how the group is founded,
// how a voter that lost its disk comes back, how one is added. It is a reducer: hellos of other
// voters and the committed membership go in, steps to take come out.
//
// An id belongs to a disk: it is drawn when the disk is made, and never given out again. So a
// voter that lost its disk has another id, knows nothing, and learns before it votes: it can't
// vote twice in a term. A group is founded once, by the voter named first in the operator's file,
// when all that are named have said that their disks are new. The others take the founding up
// only if it names the ids of their own disks.
package membership

import (
	"slices"
)

// Hello is what a voter says of itself.
type Hello struct {
	Name     string            `json:"name"`
	VoterID  uint64            `json:"id"`
	GroupID  uint64            `json:"group,omitempty"`  // 0: its disk belongs to no group yet
	Founders map[uint64]string `json:"voters,omitempty"` // of its group, if it knows them
}

// Config has times in ms.
type Config struct {
	HelloTTLMs      float64 // a hello is believed for so long
	ReplaceAfterMs  float64 // an id not heard from for so long may be replaced by another of its name
	RetryIntervalMs float64 // between two steps
}

// DefaultConfig is what voters use.
var DefaultConfig = Config{HelloTTLMs: 4000, ReplaceAfterMs: 10000, RetryIntervalMs: 2000}

// StepKind says what a step does.
type StepKind uint8

// The kinds of steps.
const (
	// StepBootstrap founds a group with Founders, under a group id to be drawn.
	StepBootstrap StepKind = iota + 1
	// StepJoin takes up GroupID; with Founders as one of them, else as a learner.
	StepJoin
	// StepNameVoter commits that VoterID is Name's.
	StepNameVoter
	// StepAddLearner has VoterID learn.
	StepAddLearner
	// StepPromote lets VoterID, which has caught up, vote; in ReplacedID's place if that is not 0.
	StepPromote
)

// Step is a change to make.
type Step struct {
	Kind       StepKind
	VoterID    uint64
	ReplacedID uint64
	Name       string
	GroupID    uint64
	Founders   map[uint64]string
}

// View is the committed membership, as a leader knows it.
type View struct {
	IsLeader   bool
	Voters     []uint64
	Learners   []uint64
	VoterNames map[uint64]string
	CaughtUp   func(id uint64) bool
}

// receivedHello is a voter's latest hello.
type receivedHello struct {
	hello      Hello
	receivedAt float64
}

// Reconciler compares what the named voters say of themselves with the committed membership, and
// derives the next step towards a group of just these. Times are ms of one steady clock.
type Reconciler struct {
	config      Config
	self        Hello
	voterNames  []string                 // in the order of the operator's file
	hellos      map[string]receivedHello // by name
	lastContact map[uint64]float64       // by voter id
	startedAt   float64                  // since when contacts are tracked
	lastStepAt  float64
}

// maxTrackedIDs bounds the ids, each of another disk, whose contacts are tracked.
const maxTrackedIDs = 1000

// New returns the reconciler of a voter, whose name is among voterNames.
func New(config Config, self Hello, voterNames []string, now float64) *Reconciler {
	return &Reconciler{
		config:      config,
		self:        self,
		voterNames:  voterNames,
		hellos:      map[string]receivedHello{},
		lastContact: map[uint64]float64{},
		startedAt:   now,
		lastStepAt:  now - config.RetryIntervalMs,
	}
}

// Self is this voter's hello.
func (r *Reconciler) Self() Hello { return r.self }

// SetGroup records that this voter's disk belongs to a group now.
func (r *Reconciler) SetGroup(groupID uint64, founders map[uint64]string) {
	r.self.GroupID, r.self.Founders = groupID, founders
}

// HandleHello records another voter's hello. One of a voter that isn't named, or in this voter's
// own name, is ignored.
func (r *Reconciler) HandleHello(now float64, hello Hello) {
	if hello.VoterID == 0 || hello.Name == r.self.Name || !slices.Contains(r.voterNames, hello.Name) {
		return
	}
	r.hellos[hello.Name] = receivedHello{hello, now}
	if len(r.lastContact) >= maxTrackedIDs {
		clear(r.lastContact)
		r.startedAt = now
	}
	r.lastContact[hello.VoterID] = now
}

// VoterID is the id in a voter's latest hello; 0: there was none.
func (r *Reconciler) VoterID(name string) uint64 { return r.hellos[name].hello.VoterID }

// VoterName is the name under which an id said hello; "": it never did.
func (r *Reconciler) VoterName(id uint64) string {
	for _, name := range r.voterNames {
		if r.hellos[name].hello.VoterID == id {
			return name
		}
	}
	return ""
}

// SinceContact is how long ago an id said hello, in ms; below 0: never, or it is this voter's.
func (r *Reconciler) SinceContact(now float64, id uint64) float64 {
	if contactAt, known := r.lastContact[id]; known {
		return now - contactAt
	}
	return -1
}

// presumedGone tells whether an id has not said hello for so long that its disk counts as lost.
func (r *Reconciler) presumedGone(now float64, id uint64) bool {
	contactAt, known := r.lastContact[id]
	if !known {
		contactAt = r.startedAt
	}
	return now-contactAt > r.config.ReplaceAfterMs
}

// NextStep returns the one step that is due, if there is one. A step that came to nothing is due
// again after the retry interval.
func (r *Reconciler) NextStep(now float64, view View) (Step, bool) {
	if now < r.lastStepAt+r.config.RetryIntervalMs {
		return Step{}, false
	}
	step, due := r.nextStep(now, view)
	if due {
		r.lastStepAt = now
	}
	return step, due
}

func (r *Reconciler) nextStep(now float64, view View) (Step, bool) {
	if r.self.GroupID == 0 {
		return r.joinStep(now)
	}
	if !view.IsLeader {
		return Step{}, false
	}
	for _, name := range r.voterNames {
		hello, fresh := r.freshHello(now, name)
		if !fresh || hello.GroupID != r.self.GroupID || slices.Contains(view.Voters, hello.VoterID) {
			continue
		}
		if step, due := r.admitStep(now, view, hello); due {
			return step, true
		}
	}
	return Step{}, false
}

// freshHello is a voter's latest hello, while it is to be believed.
func (r *Reconciler) freshHello(now float64, name string) (Hello, bool) {
	received := r.hellos[name]
	known := received.hello.VoterID != 0
	return received.hello, known && now-received.receivedAt <= r.config.HelloTTLMs
}

// admitStep is a leader's next step to let a voter of its group vote: its id is named, then it
// learns, then it is promoted.
func (r *Reconciler) admitStep(now float64, view View, hello Hello) (Step, bool) {
	step := Step{VoterID: hello.VoterID, Name: hello.Name}
	switch {
	case view.VoterNames[hello.VoterID] != hello.Name:
		step.Kind = StepNameVoter
		return step, true
	case !slices.Contains(view.Learners, hello.VoterID):
		step.Kind = StepAddLearner
		return step, true
	case !view.CaughtUp(hello.VoterID):
		return Step{}, false
	}
	replacedID, alive := r.formerID(now, view, hello.Name)
	if alive {
		return Step{}, false
	}
	step.Kind, step.ReplacedID = StepPromote, replacedID
	return step, true
}

// formerID is the id under which a name votes now; 0: none. While one of its ids is heard from it
// isn't replaced: of two processes under one name neither may push the other out.
func (r *Reconciler) formerID(now float64, view View, name string) (id uint64, alive bool) {
	for _, voter := range view.Voters {
		if view.VoterNames[voter] != name {
			continue
		}
		id = voter
		alive = alive || !r.presumedGone(now, voter)
	}
	return id, alive
}

// joinStep is the step of a voter whose disk belongs to no group: it takes up the group of
// another, or founds one if it is named first and all others say that they have none either.
func (r *Reconciler) joinStep(now float64) (Step, bool) {
	allFresh := true
	for _, name := range r.voterNames {
		if name == r.self.Name {
			continue
		}
		hello, fresh := r.freshHello(now, name)
		if fresh && hello.GroupID != 0 {
			return r.joinGroupStep(hello), true
		}
		allFresh = allFresh && fresh
	}
	if !allFresh || r.self.Name != r.voterNames[0] {
		return Step{}, false
	}
	return r.bootstrapStep()
}

// joinGroupStep takes up a group that another voter belongs to: as a founder only if the founding
// names the id of this voter's own disk.
func (r *Reconciler) joinGroupStep(hello Hello) Step {
	step := Step{Kind: StepJoin, GroupID: hello.GroupID}
	if hello.Founders[r.self.VoterID] == r.self.Name {
		step.VoterID, step.Founders = r.self.VoterID, hello.Founders
	}
	if mutantByName { // a planted defect: a voter without its disk takes its old id, and may vote twice
		for id, name := range hello.Founders {
			if name == r.self.Name {
				step.VoterID, step.Founders = id, hello.Founders
			}
		}
	}
	return step
}

// bootstrapStep founds a group of all named voters.
func (r *Reconciler) bootstrapStep() (Step, bool) {
	founders := map[uint64]string{r.self.VoterID: r.self.Name}
	for _, name := range r.voterNames {
		if name != r.self.Name {
			founders[r.hellos[name].hello.VoterID] = name
		}
	}
	if len(founders) != len(r.voterNames) {
		return Step{}, false // two disks of one id: one is a copy of the other
	}
	return Step{Kind: StepBootstrap, Founders: founders}, true
}
