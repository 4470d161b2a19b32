package leasesim

import (
	"kestrelspread/internal/fleet/lease"
)

// faultKind is what a fault does. Kinds are drawn by number.
type faultKind int

const (
	suspendInstance    faultKind = iota
	suspendInstanceToo           // a second number, so that it is twice as likely
	killInstance
	suspendVoter
	killVoter
	killAllVoters
	partitionOneWay
	isolateVoter
	isolateInstance
	slowNetwork
	operatorCommand
	drainInstance
	loseVoterDisk
	faultKinds
)

// Link faults are the kinds from partitionOneWay to slowNetwork.
const (
	firstLinkFault = partitionOneWay
	linkFaults     = slowNetwork - partitionOneWay + 1
)

// scheduleFault draws the time of the next fault, and so on until the part without faults.
func (s *simulation) scheduleFault() {
	s.after(s.FaultIntervalMs*s.rng.ExpFloat64(), func() {
		if s.faultFree {
			return
		}
		span := s.Config.LeaseMs * 4 * s.rng.Float64()
		kind := faultKind(s.rng.IntN(int(faultKinds)))
		if s.LinkFaultsOnly {
			kind = firstLinkFault + kind%linkFaults
		}
		s.injectFault(kind, span)
		s.scheduleFault()
	})
}

// injectFault begins a fault, which ends by itself after the span.
func (s *simulation) injectFault(kind faultKind, span float64) {
	switch kind {
	case suspendInstance, suspendInstanceToo:
		n := s.anyInstance()
		s.suspend(&n.process, 10*s.Config.LeaseMs*s.rng.Float64())
	case killInstance:
		s.killInstance(span)
	case suspendVoter:
		s.suspend(&s.anyVoter().process, span)
	case killVoter:
		s.killVoter(span)
	case killAllVoters:
		if s.rng.IntN(4) == 0 { // rarely, as nothing goes on meanwhile
			s.killAllVoters(span)
		}
	case partitionOneWay:
		from, to := s.anyParty(), s.anyParty()
		s.partition(from, to, span)
	case isolateVoter:
		s.isolateVoter(span)
	case isolateInstance:
		s.isolateInstance(span)
	case slowNetwork:
		s.slowdown = 1 + 100*s.rng.Float64()
		s.after(span/2, func() { s.slowdown = 1 })
	case operatorCommand:
		s.submitOperatorCommand()
	case drainInstance:
		s.drainInstance()
	case loseVoterDisk:
		s.loseDisk(s.anyVoter(), span)
	}
}

func (s *simulation) anyVoter() *simVoter { return s.voters[s.rng.IntN(len(s.voters))] }

func (s *simulation) anyInstance() *simInstance { return s.instances[s.rng.IntN(len(s.instances))] }

func (s *simulation) anyParty() string {
	if s.rng.IntN(2) == 0 {
		return s.anyVoter().party()
	}
	return s.anyInstance().party()
}

// killInstance kills an instance, which starts again as another incarnation.
func (s *simulation) killInstance(span float64) {
	n := s.anyInstance()
	if n.down {
		return
	}
	n.kill()
	s.after(span, func() { s.startInstance(n) })
}

func (s *simulation) killVoter(span float64) {
	v := s.anyVoter()
	if v.down {
		return
	}
	v.kill()
	s.after(span, func() { s.startVoter(v) })
}

// killAllVoters kills all voters at once. They start one by one, with their clocks set forward.
func (s *simulation) killAllVoters(span float64) {
	for i, v := range s.voters {
		if v.down {
			continue
		}
		v.kill()
		s.after(span+float64(i)*200*s.rng.Float64(), func() {
			v.offset += 3600e3 * s.rng.Float64()
			s.startVoter(v)
		})
	}
}

// partition partitions one party from another, one way.
func (s *simulation) partition(from, to string, span float64) {
	way := [2]string{from, to}
	s.partitions[way] = true
	s.after(span, func() { delete(s.partitions, way) })
}

func (s *simulation) partitionBothWays(a, b string, span float64) {
	s.partition(a, b, span)
	s.partition(b, a, span)
}

// isolateVoter partitions a voter from the others, not from instances.
func (s *simulation) isolateVoter(span float64) {
	v := s.anyVoter()
	for _, other := range s.voters {
		if other != v {
			s.partitionBothWays(v.party(), other.party(), span)
		}
	}
}

// isolateInstance partitions an instance from all voters, not from the receiver.
func (s *simulation) isolateInstance(span float64) {
	n := s.anyInstance()
	for _, v := range s.voters {
		s.partitionBothWays(n.party(), v.party(), span)
	}
}

// submitOperatorCommand has an operator transfer or revoke a role, by the token that some voter
// knows: now and then an old one.
func (s *simulation) submitOperatorCommand() {
	n := s.anyInstance()
	v := s.anyVoter()
	role := v.replica.State.Roles[roleName(s.rng.IntN(s.Roles))]
	if role == nil || v.down {
		return
	}
	c := lease.Command{Kind: lease.CommandTransfer, Role: role.Name, Token: role.Token, Target: n.name}
	if s.rng.IntN(3) == 0 {
		c.Kind = lease.CommandRevoke
	}
	s.submit(n, c)
}

// drainInstance has an instance release all that it holds.
func (s *simulation) drainInstance() {
	n := s.anyInstance()
	if n.down || n.suspendedUntil > s.now {
		return
	}
	for _, held := range n.holder.Leases() {
		s.release(n, held.Role, held.Token)
	}
}

// endFaults ends all faults. From here on work has to go on.
func (s *simulation) endFaults() {
	s.faultFree = true
	clear(s.partitions)
	s.slowdown = 1
	for _, v := range s.voters {
		if v.down {
			s.startVoter(v)
		}
	}
	for _, n := range s.instances {
		if n.down {
			s.startInstance(n)
		}
	}
	for number := range s.Roles {
		name := roleName(number)
		before := s.receiver.lastNumber[name]
		s.after(s.FaultFreeMs*0.95, func() {
			if s.receiver.lastNumber[name] == before {
				s.violation("%s does not go on once faults have ended", name)
			}
		})
	}
}
