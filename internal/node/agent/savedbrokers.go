package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/registry/saved"
)

// saveInterval passes at least between two copies of the brokers known.
const saveInterval = time.Second

// savedBrokers keeps a copy of the brokers known on the disk, where there is one.
type savedBrokers struct {
	file  *saved.File
	copy  chan []*nodepb.Instance // what is to be written next
	due   core.Time               // core.Never: nothing has changed
	saved uint64                  // sum over what was written last
	// restored: there was a copy of former times, from which the brokers are known.
	restored bool
}

// openSavedBrokers takes up the brokers that were known before this process started.
func (a *Agent) openSavedBrokers() {
	a.brokersCopy.due = core.Never
	if a.settings.DataDir == "" {
		return
	}
	a.brokersCopy.file = saved.Open(a.settings.DataDir)
	a.brokersCopy.copy = make(chan []*nodepb.Instance, 1)
	go a.writeBrokers()
}

// writeBrokers has the disk read first, then written to, apart from the control loop: it may hang.
func (a *Agent) writeBrokers() {
	instances, err := a.brokersCopy.file.Load(time.Now())
	if err == nil {
		a.post(func(now core.Time) {
			a.carryOut(now, a.control.RestoreBrokers(now, instances))
			a.brokersCopy.restored = len(instances) > 0
		})
	}
	for instances := range a.brokersCopy.copy {
		if err := a.brokersCopy.file.Save(instances, time.Now()); err != nil {
			a.log.Warn("copy of the brokers known", "error", err)
		}
	}
}

// brokersChanged has a copy made soon.
func (a *Agent) brokersChanged(now core.Time, table *registry.Table) {
	if a.brokersCopy.file == nil {
		return
	}
	if sum := sumOf(table); sum != a.brokersCopy.saved {
		a.brokersCopy.saved = sum
		a.brokersCopy.due = min(a.brokersCopy.due, now+saveInterval)
	}
}

// saveBrokers hands a copy over for writing where one is due and the one before is written.
func (a *Agent) saveBrokers(now core.Time) {
	if a.brokersCopy.due > now {
		return
	}
	a.brokersCopy.due = core.Never
	select {
	case a.brokersCopy.copy <- a.control.Registry().Instances():
	default: // the disk is slow; look again
		a.brokersCopy.due = now + saveInterval
	}
}

// sumOf tells tables apart by the lives, states and weights of their brokers.
func sumOf(table *registry.Table) uint64 {
	sum := uint64(0)
	for id, instance := range table.ByID {
		entry := xxhash.Sum64String(id) + uint64(instance.State)
		for model, version := range instance.Versions {
			entry += xxhash.Sum64String(model) * version
		}
		sum += entry * (entry | 1)
	}
	return sum
}
