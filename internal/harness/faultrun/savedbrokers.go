package faultrun

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// copyInterval is the time between two copies of the registered brokers on a disk.
const copyInterval = time.Second

// savedBrokers is what the disk of a core machine has of brokers. It outlives processes and losses of power, as each write is synced.
type savedBrokers struct {
	leaving map[string]*nodepb.Instance // draining or gone
	copied  []*nodepb.Instance          // all others and those that drain, up to copyInterval old
}

func newSavedBrokers() savedBrokers { return savedBrokers{leaving: map[string]*nodepb.Instance{}} }

// list returns the brokers that are draining or gone, in the order of their ids.
func (s *savedBrokers) list(sim *simulation) []*nodepb.Instance {
	var list []*nodepb.Instance
	for _, b := range sim.brokers {
		if instance := s.leaving[b.id]; instance != nil {
			list = append(list, instance)
		}
	}
	return list
}

// restoreBrokers hands the node what its disk has of brokers, as agent does.
func (m *machine) restoreBrokers(now core.Time) {
	m.execute(m.node.RestoreLeavingBrokers(now, m.brokersOnDisk.list(m.sim)))
	m.execute(m.node.RestoreBrokers(now, m.brokersOnDisk.copied))
}

// saveLeaving writes brokers that leave, and tells the node of the end.
func (m *machine) saveLeaving(write core.SaveLeaving) {
	sim := m.sim
	incarnation := m.incarnation
	sim.schedule(max(sim.now+m.syncDuration, m.diskHangsUntil), func() {
		if m.incarnation != incarnation || !m.running {
			return
		}
		err := m.disk.Refusal()
		if err == nil {
			for _, instance := range write.Instances {
				m.brokersOnDisk.leaving[instance.Id] = instance
			}
		}
		m.step(func(now core.Time) { m.execute(m.node.LeavingBrokersSaved(now, write.Token, err)) })
	})
}

// copyBrokers copies the registered brokers to the disk now and then, for as long as this incarnation runs.
func (m *machine) copyBrokers(incarnation int) {
	m.sim.after(copyInterval, func() {
		if m.incarnation != incarnation || !m.running {
			return
		}
		if m.frozenUntil <= m.sim.now && m.diskHangsUntil <= m.sim.now && m.disk.Refusal() == nil {
			m.brokersOnDisk.copied = m.node.Registry().Instances()
		}
		m.copyBrokers(incarnation)
	})
}
