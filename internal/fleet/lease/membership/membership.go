// Package membership manages the members of the voters' raft group: it bootstraps the group, adds
// voters, and readmits a voter that lost its disk. It is a state machine without I/O: it takes the
// hello messages of other voters and the committed membership, and returns the next step to take.
//
// A voter id belongs to a disk: it is generated when the disk is initialized and is never reused.
// A voter that lost its disk thus has a new id and an empty log, and must catch up as a learner
// before it votes, so it can't vote twice in a term. A group is bootstrapped once, by the first
// voter in the operator's file, when all voters in the file have reported that their disks are new.
// Each other voter accepts the bootstrap only if the list of founders contains the id of its own
// disk.
package membership

import (
	"slices"
)

// Hello is the message in which a voter announces itself to the others.
type Hello struct {
	Name     string            `json:"name"`
	VoterID  uint64            `json:"id"`
	GroupID  uint64            `json:"group,omitempty"`  // 0: the voter's disk belongs to no group yet
	Founders map[uint64]string `json:"voters,omitempty"` // names of the group's first voters by id, if known
}

// Config holds durations in ms.
type Config struct {
	HelloTTLMs      float64 // how long a received hello is valid
	ReplaceAfterMs  float64 // silence after which a voter id may be replaced by a new id of the same name
	RetryIntervalMs float64 // minimum time between two steps
}

// DefaultConfig is the configuration that voters use.
var DefaultConfig = Config{HelloTTLMs: 4000, ReplaceAfterMs: 10000, RetryIntervalMs: 2000}

// StepKind identifies what a step does.
type StepKind uint8

// Kinds of steps.
const (
	// StepBootstrap creates a group of Founders. The caller generates the group id.
	StepBootstrap StepKind = iota + 1
	// StepJoin joins the group GroupID: as one of its first voters if Founders is set, otherwise as
	// a learner.
	StepJoin
	// StepNameVoter commits that VoterID belongs to the voter Name.
	StepNameVoter
	// StepAddLearner adds VoterID to the group as a learner.
	StepAddLearner
	// StepPromote promotes the learner VoterID, which has caught up, to a voter. It replaces the
	// voter ReplacedID unless that is 0.
	StepPromote
)

// Step is a change to the group or to this voter's part in it. The fields that Kind does not need
// are zero.
type Step struct {
	Kind       StepKind
	VoterID    uint64
	ReplacedID uint64
	Name       string
	GroupID    uint64
	Founders   map[uint64]string // names by voter id
}

// View is the committed membership as the caller's voter knows it.
type View struct {
	IsLeader   bool // whether the caller's voter is the leader
	Voters     []uint64
	Learners   []uint64
	VoterNames map[uint64]string    // committed names by voter id
	CaughtUp   func(id uint64) bool // reports whether a learner has nearly the whole log
}

// receivedHello is the latest hello of a voter.
type receivedHello struct {
	hello      Hello
	receivedAt float64 // in ms
}

// Reconciler compares the hellos of the voters in the operator's file with the committed
// membership, and derives the next step towards a group of exactly these voters. Times are in ms on
// one monotonic clock.
type Reconciler struct {
	config      Config
	self        Hello
	voterNames  []string                 // in the order of the operator's file
	hellos      map[string]receivedHello // by name
	lastContact map[uint64]float64       // by voter id: time of the latest hello
	startedAt   float64                  // time since which lastContact has been tracked
	lastStepAt  float64
}

// maxTrackedIDs is the number of voter ids at which the tracked contacts are cleared. Each new disk
// adds an id.
const maxTrackedIDs = 1000

// New returns the Reconciler of the voter that self describes, whose name must be in voterNames.
// The first of voterNames bootstraps the group.
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

// Self returns this voter's hello.
func (r *Reconciler) Self() Hello { return r.self }

// SetGroup records the group that this voter's disk belongs to from now on.
func (r *Reconciler) SetGroup(groupID uint64, founders map[uint64]string) {
	r.self.GroupID, r.self.Founders = groupID, founders
}

// HandleHello records another voter's hello. It ignores a hello of a voter that is not in the
// operator's file, and a hello under this voter's own name.
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

// VoterID returns the id in the latest hello of the named voter, or 0 if it has sent none.
func (r *Reconciler) VoterID(name string) uint64 { return r.hellos[name].hello.VoterID }

// VoterName returns the name of the voter whose latest hello has the given id, or "" if there is
// none.
func (r *Reconciler) VoterName(id uint64) string {
	for _, name := range r.voterNames {
		if r.hellos[name].hello.VoterID == id {
			return name
		}
	}
	return ""
}

// SinceContact returns the time since the latest hello with the given id, in ms. It returns -1 if
// none is known, as for this voter's own id.
func (r *Reconciler) SinceContact(now float64, id uint64) float64 {
	if contactAt, known := r.lastContact[id]; known {
		return now - contactAt
	}
	return -1
}

// presumedLost reports whether an id has sent no hello for longer than Config.ReplaceAfterMs, so
// that its disk is considered lost.
func (r *Reconciler) presumedLost(now float64, id uint64) bool {
	contactAt, known := r.lastContact[id]
	if !known {
		contactAt = r.startedAt
	}
	return now-contactAt > r.config.ReplaceAfterMs
}

// NextStep returns the next step and whether one is due. Steps are at least Config.RetryIntervalMs
// apart. A step that had no effect is returned again after that time.
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

// nextStep returns the next step regardless of the retry interval.
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

// freshHello returns the latest hello of the named voter and whether it is still valid.
func (r *Reconciler) freshHello(now float64, name string) (Hello, bool) {
	received := r.hellos[name]
	known := received.hello.VoterID != 0
	return received.hello, known && now-received.receivedAt <= r.config.HelloTTLMs
}

// admitStep returns the leader's next step to admit the sender of a hello to the voters of the
// group: commit the name of its id, then add it as a learner, then promote it once it has caught
// up.
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
	replacedID, alive := r.currentVoterID(now, view, hello.Name)
	if alive {
		return Step{}, false
	}
	step.Kind, step.ReplacedID = StepPromote, replacedID
	return step, true
}

// currentVoterID returns the id under which the named voter votes at present, or 0 if there is
// none, and whether any such id is alive. An id that is alive must not be replaced: otherwise two
// processes under the same name would replace each other.
func (r *Reconciler) currentVoterID(now float64, view View, name string) (id uint64, alive bool) {
	for _, voter := range view.Voters {
		if view.VoterNames[voter] != name {
			continue
		}
		id = voter
		alive = alive || !r.presumedLost(now, voter)
	}
	return id, alive
}

// joinStep returns the step of a voter whose disk belongs to no group: it joins the group of
// another voter. If all others report that they have no group either, the first voter in the
// operator's file bootstraps one.
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

// joinGroupStep returns the step to join the group of another voter. This voter joins as a founder
// only if the founders include the id of its own disk.
func (r *Reconciler) joinGroupStep(hello Hello) Step {
	step := Step{Kind: StepJoin, GroupID: hello.GroupID}
	if hello.Founders[r.self.VoterID] == r.self.Name {
		step.VoterID, step.Founders = r.self.VoterID, hello.Founders
	}
	if mutantAdoptIDByName { // deliberate defect: a voter that lost its disk takes its old id, and may vote twice
		for id, name := range hello.Founders {
			if name == r.self.Name {
				step.VoterID, step.Founders = id, hello.Founders
			}
		}
	}
	return step
}

// bootstrapStep returns the step to bootstrap a group of all voters in the operator's file.
func (r *Reconciler) bootstrapStep() (Step, bool) {
	founders := map[uint64]string{r.self.VoterID: r.self.Name}
	for _, name := range r.voterNames {
		if name != r.self.Name {
			founders[r.hellos[name].hello.VoterID] = name
		}
	}
	if len(founders) != len(r.voterNames) {
		return Step{}, false // two voters have the same id: one disk is a copy of the other
	}
	return Step{Kind: StepBootstrap, Founders: founders}, true
}
