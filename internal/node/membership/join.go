package membership

import (
	"slices"

	"kestrelspread/internal/node/core"
)

// join is the way into the list: calls to the seeds until they have answered. Seeds need not listen yet when this
// node starts (DEPLOY.md, "Settings of a process").
type join struct {
	startedAt  core.Time
	nextCallAt core.Time // of the next calls; Never once the node has joined
	seeds      []seed
}

type seed struct {
	address  string
	answered bool
}

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

// SetSeeds replaces the seeds, as the settings may while the node runs. Those that aren't members are called from
// time to time.
func (m *Membership) SetSeeds(seeds []string) {
	former := m.join.seeds
	m.join.seeds = nil
	for _, address := range otherAddresses(seeds, m.table.self.Address) {
		answered := slices.ContainsFunc(former, func(s seed) bool { return s.address == address && s.answered })
		m.join.seeds = append(m.join.seeds, seed{address: address, answered: answered})
	}
	m.deadline = m.nextDeadline()
}

// stepJoin calls the seeds that have not answered.
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

// recordSeedAnswer takes note that the node at the address sent its list.
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
