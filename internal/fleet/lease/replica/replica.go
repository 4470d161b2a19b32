// Package replica is one voter's replica of the leases in one reducer: its part in the consensus,
// the replicated state, and the lessor that acts while it leads. The voter's server and the
// simulation drive the same code; there is no network, disk or clock here.
//
// Invariant: nothing is granted, renewed or reported in the group's name unless a quorum has
// confirmed this voter's lead after the request arrived. A leader that was cut off can't know
// that another one leads by now.
package replica

import (
	"fmt"
	"sort"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
)

// Replica is one voter's. One goroutine owns it. Times are ms of the voter's steady clock.
type Replica struct {
	*consensus.Node
	State  *lease.State
	Lessor *lease.Lessor
	now    float64 // the latest time that was handed in

	pendingCommands map[string]func(lease.Result) // by command id
	submittedAt     map[string]float64            // by command id
	lastCommandNo   int

	confirmingElection   bool // a quorum is being asked whether this voter has come to lead
	lessorElection       int  // the election won from which the lessor's knowledge is
	queuedConfirmations  []func(ok bool)
	confirmationInFlight bool
}

// commandTimeoutMs is how long a command may take before its submitter is told that its outcome
// is not known.
const commandTimeoutMs = 10000

// stateMachine applies the log to the replica's state.
type stateMachine struct{ replica *Replica }

// Apply applies a committed command, and answers who submitted it here.
func (m stateMachine) Apply(index uint64, command []byte) {
	result := m.replica.State.Apply(index, command)
	if result.CommandID != "" {
		m.replica.completeCommand(result)
	}
}

// Snapshot returns the stored form of the state.
func (m stateMachine) Snapshot() []byte { return m.replica.State.Snapshot() }

// Restore replaces the state.
func (m stateMachine) Restore(snapshot []byte) error { return m.replica.State.Restore(snapshot) }

// New starts a replica from its durable state. The seed determines its election timeouts.
func New(durable consensus.DurableState, config lease.Config, raftConfig consensus.Config, seed uint64) (*Replica, error) {
	state := lease.NewState()
	r := &Replica{
		State:           state,
		Lessor:          lease.NewLessor(config, state),
		pendingCommands: map[string]func(lease.Result){},
		submittedAt:     map[string]float64{},
	}
	node, err := consensus.New(durable, raftConfig, stateMachine{r}, seed)
	r.Node = node
	return r, err
}

// Tick advances the voter's clock by one tick, at a time of it: the lessor follows the lead, what
// is due is proposed, and commands time out.
func (r *Replica) Tick(now float64) {
	r.now = now
	r.Node.Tick()
	r.followLead()
	for _, c := range r.Lessor.DueCommands(now) {
		r.Propose(c.Encode()) // what is lost is due again
	}
	r.expireCommands()
}

// followLead starts the lessor once a quorum has confirmed the lead, and stops it when the lead
// is lost. Elections are compared too: a voter that lost and won the lead between two ticks knows
// of leases only what it knew before, and has to begin anew.
func (r *Replica) followLead() {
	if r.IsLeader() && !r.Lessor.IsLeader() && !r.confirmingElection {
		r.confirmingElection = true
		r.ConfirmLeadership(func(ok bool) {
			r.confirmingElection = false
			if ok { // all that was committed before is applied by now
				r.lessorElection = r.ElectionsWon
				r.Lessor.BecomeLeader(r.now)
			}
		})
	}
	if r.Lessor.IsLeader() && (!r.IsLeader() || r.ElectionsWon != r.lessorElection) {
		r.Lessor.BecomeFollower()
	}
}

// mayAnswer tells whether this voter leads and its lessor knows of this election.
func (r *Replica) mayAnswer() bool {
	return r.IsLeader() && r.Lessor.IsLeader() && r.ElectionsWon == r.lessorElection
}

// HandleRequest answers an instance's request, once a quorum has confirmed that this voter leads.
func (r *Replica) HandleRequest(now float64, request Request, reply func(Response)) {
	r.now = now
	redirect := func() { reply(Response{SentAt: request.SentAt, LeaderID: r.otherLeaderID()}) }
	if !r.mayAnswer() || !request.valid() {
		redirect()
		return
	}
	r.confirmInBatch(func(ok bool) {
		if !ok || !r.Lessor.IsLeader() {
			redirect()
			return
		}
		// Alive since the request arrived, not since now: the lead was confirmed after that.
		r.Lessor.RecordRequest(now, request.Instance, request.EligibleRoles)
		reply(r.respond(request))
	})
}

// respond renews what the instance holds, and says what it doesn't hold any more.
func (r *Replica) respond(request Request) Response {
	response := Response{OK: true, SentAt: request.SentAt}
	for _, name := range r.State.RoleNames() {
		role := r.State.Roles[name]
		heldToken, held := request.HeldTokens[name]
		if role.Holder == request.Instance {
			renewed, release := r.Lessor.Renew(r.now, name, role.Token, request.Instance)
			if renewed {
				response.Grants = append(response.Grants, Grant{name, role.Token, release, role.Progress})
			}
		} else if held && heldToken <= role.Token {
			if response.LostRoles == nil {
				response.LostRoles = map[string]uint64{}
			}
			response.LostRoles[name] = role.Token
		}
	}
	for _, name := range request.WatchedRoles {
		if role := r.State.Roles[name]; role != nil && role.Progress != nil {
			age := r.Lessor.ProgressAge(r.now, name)
			response.ProgressReports = append(response.ProgressReports, ProgressReport{name, role.ProgressToken, role.Progress, age})
		}
	}
	return response
}

// confirmInBatch calls done once a quorum has confirmed the lead after this call.
func (r *Replica) confirmInBatch(done func(ok bool)) {
	if mutantUnconfirmed {
		done(true)
		return
	}
	r.queuedConfirmations = append(r.queuedConfirmations, done)
	if !r.confirmationInFlight {
		r.startConfirmation()
	}
}

// startConfirmation asks a quorum once for all that wait. What is queued meanwhile waits for the
// next one, as a confirmation proves nothing of requests that arrived after it was asked for.
func (r *Replica) startConfirmation() {
	waiting := r.queuedConfirmations
	r.queuedConfirmations, r.confirmationInFlight = nil, true
	r.ConfirmLeadership(func(ok bool) {
		r.confirmationInFlight = false
		for _, done := range waiting {
			done(ok)
		}
		if len(r.queuedConfirmations) > 0 && !r.confirmationInFlight {
			r.startConfirmation()
		}
	})
}

// otherLeaderID is the leader where it is not this voter; 0: not known.
func (r *Replica) otherLeaderID() uint64 {
	leader := r.LeaderID()
	if leader == r.ID {
		return 0
	}
	return leader
}

// Submit proposes a command, and calls reply with its result. A Result.Index of 0 says that the
// command may or may not be committed.
func (r *Replica) Submit(now float64, c lease.Command, reply func(lease.Result)) {
	r.now = now
	r.lastCommandNo++
	c.ID = fmt.Sprintf("%x-%d-%d", r.ID, r.Term(), r.lastCommandNo)
	r.pendingCommands[c.ID], r.submittedAt[c.ID] = reply, now
	if err := r.Propose(c.Encode()); err != nil {
		r.completeCommand(lease.Result{CommandID: c.ID, Reason: err.Error()})
	}
}

// expireCommands answers the commands that have waited too long.
func (r *Replica) expireCommands() {
	var expired []string
	for id, submittedAt := range r.submittedAt {
		if r.now-submittedAt > commandTimeoutMs {
			expired = append(expired, id)
		}
	}
	sort.Strings(expired)
	for _, id := range expired {
		r.completeCommand(lease.Result{CommandID: id, Reason: "no answer from a quorum: it may or may not have been agreed on"})
	}
}

// completeCommand answers a command's submitter, if it waits here.
func (r *Replica) completeCommand(result lease.Result) {
	reply := r.pendingCommands[result.CommandID]
	delete(r.pendingCommands, result.CommandID)
	delete(r.submittedAt, result.CommandID)
	if reply != nil {
		reply(result)
	}
}

// HandleMessage handles a message of another voter.
func (r *Replica) HandleMessage(now float64, m raftpb.Message) {
	r.now = now
	r.Step(m)
}
