// Package replica is a voter as the others see it: agreement, grants and who asks for them, in one reducer. Shells and the virtual
// fleet drive the same.
package replica

import (
	"fmt"
	"sort"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
)

// Request is an instance's: it is there, and holds these duties under these tokens.
type Request struct {
	Instance      string            `json:"instance"` // one life of it: a restart under the same name is another
	SentAt        float64           `json:"at"`       // on its own steady clock; comes back with the answer
	HeldTokens    map[string]uint64 `json:"holds,omitempty"`
	EligibleRoles []string          `json:"can,omitempty"`   // duties that it can do; nil: all
	WatchedRoles  []string          `json:"reads,omitempty"` // duties of which it wants to know how far they have come
}

// Grant is one duty in an answer.
type Grant struct {
	Role             string `json:"duty"`
	Token            uint64 `json:"token"`
	ReleaseRequested bool   `json:"let_go,omitempty"`
	Progress         []byte `json:"data,omitempty"`
}

// ProgressReport is how far a duty has come, by its owner's own word, and how old that is, in ms: it is no better than that.
type ProgressReport struct {
	Role     string  `json:"duty"`
	Token    uint64  `json:"token"`
	Progress []byte  `json:"data,omitempty"`
	AgeMs    float64 `json:"age"`
}

// Response is what a voter says. Leader: who is to be asked instead, where it does not lead; 0: not known.
type Response struct {
	OK              bool              `json:"ok"`
	SentAt          float64           `json:"at"`
	LeaderID        uint64            `json:"leader,omitempty"`
	Grants          []Grant           `json:"grants,omitempty"`
	LostRoles       map[string]uint64 `json:"lost,omitempty"` // what it thought it held, with the latest token
	ProgressReports []ProgressReport  `json:"said,omitempty"`
}

// Replica is one of those who agree.
type Replica struct {
	*consensus.Node
	State                *lease.State
	Lessor               *lease.Lessor
	now                  float64
	pendingCommands      map[string]func(lease.Result)
	submittedAt          map[string]float64
	lastCommandNo        int
	confirmingElection   bool // whether it leads is being confirmed, before it acts as a leader
	config               lease.Config
	lessorElection       int             // which of its elections the grantor's knowledge is from
	queuedConfirmations  []func(ok bool) // questions that wait for the next confirmation
	confirmationInFlight bool
}

// stateMachine lets the log change the state.
type stateMachine struct{ replica *Replica }

func (m stateMachine) Apply(index uint64, command []byte) {
	r := m.replica.State.Apply(index, command)
	if then := m.replica.pendingCommands[r.CommandID]; then != nil && r.CommandID != "" {
		delete(m.replica.pendingCommands, r.CommandID)
		delete(m.replica.submittedAt, r.CommandID)
		then(r)
	}
}
func (m stateMachine) Snapshot() []byte       { return m.replica.State.Snapshot() }
func (m stateMachine) Restore(b []byte) error { return m.replica.State.Restore(b) }

// New starts a voter from its disk.
func New(d consensus.DurableState, rules lease.Config, times consensus.Config, seed uint64) (*Replica, error) {
	v := &Replica{State: lease.NewState(), config: rules, pendingCommands: map[string]func(lease.Result){}, submittedAt: map[string]float64{}}
	v.Lessor = lease.NewLessor(rules, v.State)
	var err error
	v.Node, err = consensus.New(d, times, stateMachine{v}, seed)
	return v, err
}

const commandTimeoutMs = 10000 // ms that a command may take before its giver is told that nobody knows

// Tick is one tick of the voter's clock, at a time of it: what is due is proposed.
func (v *Replica) Tick(now float64) {
	v.now = now
	v.Node.Tick()
	if v.IsLeader() && !v.Lessor.IsLeader() && !v.confirmingElection {
		v.confirmingElection = true
		lead := func(ok bool) {
			v.confirmingElection = false
			if ok {
				v.lessorElection = v.ElectionsWon
				v.Lessor.BecomeLeader(v.now) // all that was agreed before is applied by now
			}
		}
		v.ConfirmLeadership(lead)
	}
	if v.Lessor.IsLeader() && (!v.IsLeader() || v.ElectionsWon != v.lessorElection) {
		v.Lessor.BecomeFollower() // also where it was elected anew between two beats: what it knew of leases is from before
	}
	for _, c := range v.Lessor.DueCommands(now) {
		v.Propose(c.Encode())
	}
	ids := make([]string, 0, len(v.submittedAt))
	for id, at := range v.submittedAt {
		if now-at > commandTimeoutMs {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		v.failCommand(id, "no answer from a quorum: it may or may not have been agreed on")
	}
}

func (v *Replica) failCommand(id, why string) {
	then := v.pendingCommands[id]
	delete(v.pendingCommands, id)
	delete(v.submittedAt, id)
	if then != nil {
		then(lease.Result{CommandID: id, Reason: why})
	}
}

// HandleRequest answers an instance, once a quorum has confirmed that this voter leads.
func (v *Replica) HandleRequest(now float64, q Request, reply func(Response)) {
	v.now = now
	if !v.IsLeader() || !v.Lessor.IsLeader() || v.ElectionsWon != v.lessorElection || q.Instance == "" || len(q.Instance) > 256 || len(q.HeldTokens) > 1000 || len(q.EligibleRoles) > 1000 || len(q.WatchedRoles) > 1000 {
		reply(Response{SentAt: q.SentAt, LeaderID: v.otherLeaderID()})
		return
	}
	v.confirmLeadership(func(ok bool) {
		if !ok || !v.Lessor.IsLeader() {
			reply(Response{SentAt: q.SentAt, LeaderID: v.otherLeaderID()})
			return
		}
		// Leases run from when the question came, not from now: a quorum has confirmed the lead since then.
		v.Lessor.RecordRequest(now, q.Instance, q.EligibleRoles)
		a := Response{OK: true, SentAt: q.SentAt}
		for _, name := range v.State.RoleNames() {
			d := v.State.Roles[name]
			token, holds := q.HeldTokens[name]
			if d.Holder == q.Instance {
				if ok, letGo := v.Lessor.Renew(v.now, name, d.Token, q.Instance); ok {
					a.Grants = append(a.Grants, Grant{name, d.Token, letGo, d.Progress})
				}
			} else if holds && token <= d.Token {
				if a.LostRoles == nil {
					a.LostRoles = map[string]uint64{}
				}
				a.LostRoles[name] = d.Token
			}
		}
		for _, name := range q.WatchedRoles {
			if d := v.State.Roles[name]; d != nil && d.Progress != nil {
				a.ProgressReports = append(a.ProgressReports, ProgressReport{name, d.ProgressToken, d.Progress, v.Lessor.ProgressAge(v.now, name)})
			}
		}
		reply(a)
	})
}

// confirmLeadership asks a quorum before anything is said in its name: whoever led and was cut off does not know that another leads.
func (v *Replica) confirmLeadership(then func(ok bool)) {
	if plantUnconfirmed {
		then(true)
		return
	}
	if v.queuedConfirmations = append(v.queuedConfirmations, then); !v.confirmationInFlight {
		v.startConfirmation()
	}
}

// startConfirmation confirms for all who wait: however many ask, a quorum is asked once at a time. Who comes while it is being asked waits
// for the next, as an answer proves nothing of a question that came after it was asked for.
func (v *Replica) startConfirmation() {
	list := v.queuedConfirmations
	v.queuedConfirmations, v.confirmationInFlight = nil, true
	v.ConfirmLeadership(func(ok bool) {
		v.confirmationInFlight = false
		for _, then := range list {
			then(ok)
		}
		if len(v.queuedConfirmations) > 0 && !v.confirmationInFlight {
			v.startConfirmation()
		}
	})
}

func (v *Replica) otherLeaderID() uint64 {
	if l := v.LeaderID(); l != v.ID {
		return l
	}
	return 0
}

// Do gives a command, and tells what became of it.
func (v *Replica) Submit(now float64, c lease.Command, reply func(lease.Result)) {
	v.now = now
	v.lastCommandNo++
	c.ID = fmt.Sprintf("%x-%d-%d", v.ID, v.Term(), v.lastCommandNo)
	v.pendingCommands[c.ID], v.submittedAt[c.ID] = reply, now
	if err := v.Propose(c.Encode()); err != nil {
		v.failCommand(c.ID, err.Error())
	}
}

// HandleMessage takes a message of another voter.
func (v *Replica) HandleMessage(now float64, m raftpb.Message) {
	v.now = now
	v.Step(m)
}
