package leasesim

import (
	"errors"
	"fmt"
	"strconv"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/lease/replica"
)

// simInstance is an instance's process.
type simInstance struct {
	process
	number       int
	name         string // of its incarnation
	holder       *lease.Holder
	currentVoter int             // whom to ask
	jobs         map[string]*job // by role
}

// job is a role's work under one grant: effects numbered from 1, one after another.
type job struct {
	lease       *lease.Lease
	completed   int // the latest effect that is known to count
	progressSeq uint64
}

const (
	responseTimeoutMs = 400.0 // after which another voter is asked
	effectTimeoutMs   = 600.0 // after which an effect is offered again
	// suspendOdds: in one of so many effects the process is suspended between check and effect.
	suspendOdds  = 60
	receiverName = "r"
)

func (n *simInstance) party() string { return "i" + strconv.Itoa(n.number) }

func (s *simulation) addInstances() {
	for i := range s.Instances {
		n := &simInstance{process: s.newProcess(), number: i}
		s.instances = append(s.instances, n)
		s.startInstance(n)
	}
}

func (s *simulation) startInstance(n *simInstance) {
	n.start()
	n.name = fmt.Sprintf("i%d.%d", n.number, n.incarnation)
	n.holder, n.jobs = lease.NewHolder(s.Config), map[string]*job{}
	s.askAnyVoter(n)
	incarnation := n.incarnation
	var poll func()
	poll = func() {
		if n.incarnation != incarnation {
			return
		}
		s.handle(&n.process, func() { s.requestLeases(n) })
		s.after(s.Config.PollIntervalMs()*(0.8+0.4*s.rng.Float64()), poll)
	}
	s.after(300*s.rng.Float64(), poll)
}

func (s *simulation) askAnyVoter(n *simInstance) { n.currentVoter = s.rng.IntN(len(s.voters)) }

// requestLeases sends a request to the current voter.
func (s *simulation) requestLeases(n *simInstance) {
	sentAt := n.clock(s.now)
	s.applyActions(n, n.holder.ExpireLeases(sentAt))
	request := replica.Request{Instance: n.name, SentAt: sentAt, HeldTokens: map[string]uint64{}}
	for _, held := range n.holder.Leases() {
		request.HeldTokens[held.Role] = held.Token
	}
	v, incarnation := s.voters[n.currentVoter%len(s.voters)], n.incarnation
	answered := false
	s.after(responseTimeoutMs, func() {
		if !answered && n.incarnation == incarnation {
			s.askAnyVoter(n)
		}
	})
	respond := func(response replica.Response) {
		s.sendDelayed(v.party(), n.party(), responseDelayOdds, func() {
			if n.incarnation != incarnation {
				return
			}
			s.handle(&n.process, func() {
				answered = true
				s.handleResponse(n, response)
			})
		})
	}
	s.send(n.party(), v.party(), func() { s.deliverRequest(v, request, respond) })
}

// deliverRequest has a voter handle a request. Killed before it answers, it doesn't.
func (s *simulation) deliverRequest(v *simVoter, request replica.Request, respond func(replica.Response)) {
	incarnation := v.incarnation
	s.handle(&v.process, func() {
		v.replica.HandleRequest(v.clock(s.now), request, func(response replica.Response) {
			if v.incarnation == incarnation {
				respond(response)
			}
		})
		s.handleReady(v)
	})
}

func (s *simulation) handleResponse(n *simInstance, response replica.Response) {
	if !response.OK {
		if leader := s.voterByID[response.LeaderID]; leader != nil {
			n.currentVoter = leader.number
		} else {
			s.askAnyVoter(n)
		}
		return
	}
	for _, g := range response.Grants {
		s.applyActions(n, n.holder.HandleGrant(n.clock(s.now), response.SentAt, g.Role, g.Token, g.Progress, g.ReleaseRequested))
	}
	for number := range s.Roles {
		name := roleName(number)
		if token, lost := response.LostRoles[name]; lost {
			s.applyActions(n, n.holder.HandleLost(name, token))
		}
	}
}

// applyActions carries out what an instance's holder demands.
func (s *simulation) applyActions(n *simInstance, actions []lease.Action) {
	for _, action := range actions {
		switch {
		case action.Start != nil:
			completed, _ := strconv.Atoi(string(action.Start.Progress))
			j := &job{lease: action.Start, completed: completed}
			n.jobs[action.Start.Role] = j
			s.scheduleEffect(n, j)
		case action.Stop != nil:
			if j := n.jobs[action.Stop.Role]; j != nil && j.lease.Token == action.Stop.Token {
				delete(n.jobs, action.Stop.Role)
			}
		case action.ReportReleased != nil:
			s.submitRelease(n, action.ReportReleased.Role, action.ReportReleased.Token)
		case action.Finish != nil:
			s.release(n, action.Finish.Role, action.Finish.Token)
		}
	}
}

// release ends a job on the instance's side, then at the voters.
func (s *simulation) release(n *simInstance, role string, token uint64) {
	delete(n.jobs, role)
	n.holder.MarkReleased(role)
	s.submitRelease(n, role, token)
}

func (s *simulation) submitRelease(n *simInstance, role string, token uint64) {
	s.submit(n, lease.Command{Kind: lease.CommandRelease, Role: role, Token: token})
}

// submit sends a command to the current voter. Its result goes into the history.
func (s *simulation) submit(n *simInstance, c lease.Command) {
	s.result.Commands++
	calledAt := s.now
	v := s.voters[n.currentVoter%len(s.voters)]
	s.sendDelayed(n.party(), v.party(), commandDelayOdds, func() {
		incarnation := v.incarnation
		s.handle(&v.process, func() {
			v.replica.Submit(v.clock(s.now), c, func(result lease.Result) {
				if v.incarnation != incarnation {
					return
				}
				s.send(v.party(), n.party(), func() { s.recordCommand(n.number, c, result, calledAt) })
			})
			s.handleReady(v)
		})
	})
}

// hasJob tells whether an incarnation of an instance still does a job.
func (n *simInstance) hasJob(j *job, incarnation int) bool {
	return n.incarnation == incarnation && n.jobs[j.lease.Role] == j
}

// scheduleEffect does the following effect of a job after a while.
func (s *simulation) scheduleEffect(n *simInstance, j *job) {
	incarnation := n.incarnation
	s.after(s.EffectIntervalMs*(0.5+s.rng.Float64()), func() {
		if !n.hasJob(j, incarnation) {
			return
		}
		s.handle(&n.process, func() {
			if n.jobs[j.lease.Role] == j {
				s.doEffect(n, j)
			}
		})
	})
}

// doEffect checks the lease, and then sends the effect, with whatever comes between.
func (s *simulation) doEffect(n *simInstance, j *job) {
	token, may := n.holder.MayAct(n.clock(s.now), j.lease.Role)
	if !may || token != j.lease.Token {
		s.scheduleEffect(n, j) // the lease may yet be renewed
		return
	}
	incarnation := n.incarnation
	e := fence.Effect{Role: j.lease.Role, Token: token, Key: strconv.Itoa(j.completed + 1)}
	if s.faultsOn() && !s.LinkFaultsOnly && s.rng.IntN(suspendOdds) == 0 {
		s.suspend(&n.process, 10*s.Config.LeaseMs*s.rng.Float64())
	}
	s.handle(&n.process, func() {
		if _, still := n.holder.MayAct(n.clock(s.now), e.Role); !still {
			s.result.LateEffects++
		}
		s.send(n.party(), receiverName, func() { s.receive(n, incarnation, j, e) })
	})
}

// receive is the receiver: it judges and does an effect in one step, audits it, and replies.
func (s *simulation) receive(n *simInstance, incarnation int, j *job, e fence.Effect) {
	fresh, err := s.receiver.fence.Admit(e)
	number, _ := strconv.Atoi(e.Key)
	s.auditEffect(e, number, fresh, err)
	s.send(receiverName, n.party(), func() {
		if !n.hasJob(j, incarnation) {
			return
		}
		s.handle(&n.process, func() {
			if n.jobs[j.lease.Role] == j {
				s.handleEffectReply(n, j, e, number, err)
			}
		})
	})
	// Without a reply it is offered again: the key makes that harmless.
	s.after(effectTimeoutMs, func() {
		if n.hasJob(j, incarnation) && j.completed == number-1 {
			s.scheduleEffect(n, j)
		}
	})
}

// auditEffect checks the receiver's judgement, and records what counted.
func (s *simulation) auditEffect(e fence.Effect, number int, fresh bool, err error) {
	r := &s.receiver
	switch {
	case errors.Is(err, fence.ErrStaleToken):
		s.result.StaleEffects++
	case err != nil:
	case e.Token < r.lastToken[e.Role]: // also where its key made it harmless: another time it would not
		s.violation("%s: token %d was admitted after %d", e.Role, e.Token, r.lastToken[e.Role])
	}
	if err != nil {
		return
	}
	if !fresh {
		s.result.DuplicateEffects++
		return
	}
	s.result.Effects++
	if number != r.lastNumber[e.Role]+1 {
		s.violation("%s: effect %d came after %d", e.Role, number, r.lastNumber[e.Role])
	}
	if e.Token < r.lastToken[e.Role] {
		s.violation("%s: an effect of token %d counted after %d", e.Role, e.Token, r.lastToken[e.Role])
	}
	if e.Token > r.lastToken[e.Role] {
		if lastEffectAt, taken := r.lastEffectAt[e.Role]; taken {
			s.result.TakeoverGapsMs = append(s.result.TakeoverGapsMs, s.now-lastEffectAt)
		}
	}
	r.lastNumber[e.Role], r.lastToken[e.Role], r.lastEffectAt[e.Role] = number, e.Token, s.now
}

// handleEffectReply goes on to the next effect, or ends a job whose token is stale.
func (s *simulation) handleEffectReply(n *simInstance, j *job, e fence.Effect, number int, err error) {
	if err != nil {
		delete(n.jobs, e.Role)
		n.holder.MarkReleased(e.Role)
		return
	}
	if number <= j.completed {
		return // a delayed reply, of an effect that is done
	}
	j.completed = number
	j.progressSeq++
	s.submit(n, lease.Command{Kind: lease.CommandProgress, Role: e.Role, Token: e.Token, ProgressSeq: j.progressSeq, Progress: []byte(e.Key)})
	s.scheduleEffect(n, j)
}
