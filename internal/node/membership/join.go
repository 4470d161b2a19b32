package membership

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// joinInterval is the time between calls to seeds that haven't answered, for joinTime after the
	// start.
	joinInterval = 200 * time.Millisecond
	joinTime     = 3 * time.Second
	// lateJoinInterval takes its place afterwards, as long as no seed has answered.
	lateJoinInterval = time.Second
)

// join is the state of the calls to the seeds, until these have answered. Seeds needn't listen yet
// when this node starts (DEPLOY.md, "Settings of a process").
type join struct {
	startedAt  core.Time
	nextCallAt core.Time // of the next calls; Never once the node has joined
	seeds      []seed
}

// seed is a node through which to join.
type seed struct {
	address  string
	answered bool
}

// newJoin returns the state of a node that starts now.
func newJoin(now core.Time, addresses []string) join {
	j := join{startedAt: now, nextCallAt: core.Never}
	for _, address := range addresses {
		j.seeds = append(j.seeds, seed{address: address})
	}
	if len(j.seeds) > 0 {
		j.nextCallAt = now
	}
	return j
}

// otherAddresses returns the addresses without the node's own, each once.
func otherAddresses(addresses []string, own string) []string {
	var others []string
	for _, address := range addresses {
		if address != own && address != "" && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	return others
}

// answeredCount returns how many seeds have answered.
func (j *join) answeredCount() int {
	count := 0
	for _, seed := range j.seeds {
		if seed.answered {
			count++
		}
	}
	return count
}

// SetSeeds replaces the seeds, as the settings may while the node runs. Seeds that aren't members
// are called now and then.
func (m *Membership) SetSeeds(seeds []string) {
	previous := m.join.seeds
	m.join.seeds = nil
	for _, address := range otherAddresses(seeds, m.table.self.Address) {
		answered := slices.ContainsFunc(previous, func(s seed) bool { return s.address == address && s.answered })
		m.join.seeds = append(m.join.seeds, seed{address: address, answered: answered})
	}
	m.deadline = m.nextDeadline()
}

// stepJoin calls the seeds that haven't answered.
func (m *Membership) stepJoin() {
	j := &m.join
	if m.now < j.nextCallAt {
		return
	}
	early := m.now < j.startedAt+joinTime
	if answers := j.answeredCount(); answers == len(j.seeds) || answers > 0 && !early {
		j.nextCallAt = core.Never
		return
	}
	for _, seed := range j.seeds {
		if !seed.answered {
			m.requestList(seed.address)
		}
	}
	j.nextCallAt = m.now + lateJoinInterval
	if early {
		j.nextCallAt = m.now + joinInterval
	}
}

// recordSeedAnswer records that the node at the address has sent its list.
func (m *Membership) recordSeedAnswer(address string) {
	j := &m.join
	for i := range j.seeds {
		if j.seeds[i].address == address {
			j.seeds[i].answered = true
		}
	}
	if j.answeredCount() == len(j.seeds) {
		j.nextCallAt = core.Never
	}
}
