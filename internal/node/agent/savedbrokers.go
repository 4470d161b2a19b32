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
	file          *saved.File
	writes        chan []*nodepb.Instance // what is to be written next
	saveDeadline  core.Time               // core.Never: nothing has changed
	savedChecksum uint64                  // sum over what was written last
	// restored: there was a copy of former times, from which the brokers are known.
	restored bool
}

// openSavedBrokers takes up the brokers that were known before this process started.
func (a *Agent) openSavedBrokers() {
	a.savedBrokers.saveDeadline = core.Never
	if a.settings.DataDir == "" {
		return
	}
	a.savedBrokers.file = saved.Open(a.settings.DataDir)
	a.savedBrokers.writes = make(chan []*nodepb.Instance, 1)
	go a.writeBrokers()
}

// writeBrokers has the disk read first, then written to, apart from the control loop: it may hang.
func (a *Agent) writeBrokers() {
	instances, err := a.savedBrokers.file.Load(time.Now())
	if err == nil {
		a.post(func(now core.Time) {
			a.execute(now, a.control.RestoreBrokers(now, instances))
			a.savedBrokers.restored = len(instances) > 0
		})
	}
	for instances := range a.savedBrokers.writes {
		if err := a.savedBrokers.file.Save(instances, time.Now()); err != nil {
			a.log.Warn("copy of the brokers known", "error", err)
		}
	}
}

// scheduleBrokerSave has a copy made soon.
func (a *Agent) scheduleBrokerSave(now core.Time, table *registry.Table) {
	if a.savedBrokers.file == nil {
		return
	}
	if sum := tableChecksum(table); sum != a.savedBrokers.savedChecksum {
		a.savedBrokers.savedChecksum = sum
		a.savedBrokers.saveDeadline = min(a.savedBrokers.saveDeadline, now+saveInterval)
	}
}

// saveBrokers hands a copy over for writing where one is due and the one before is written.
func (a *Agent) saveBrokers(now core.Time) {
	if a.savedBrokers.saveDeadline > now {
		return
	}
	a.savedBrokers.saveDeadline = core.Never
	select {
	case a.savedBrokers.writes <- a.control.Registry().Instances():
	default: // the disk is slow; look again
		a.savedBrokers.saveDeadline = now + saveInterval
	}
}

// tableChecksum tells tables apart by the lives, states and weights of their brokers.
func tableChecksum(table *registry.Table) uint64 {
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
