package scenario

import (
	"sync"

	"kestrelspread/internal/standin/fakeservers"
)

// agent is the discovery agent on a broker's machine. It forwards updates at once.
type agent struct {
	discovery *fakeservers.Discovery
	mutex     sync.Mutex
	instances map[string]fakeservers.Instance
	ids       []string
}

// newAgent starts an agent with a list of servers.
func newAgent(list []fakeservers.Instance) (*agent, error) {
	a := &agent{instances: map[string]fakeservers.Instance{}}
	for _, e := range list {
		a.instances[e.ID] = e
		a.ids = append(a.ids, e.ID)
	}
	var err error
	a.discovery, err = fakeservers.StartDiscovery(list)
	return a, err
}

// addr is the address that the broker connects to.
func (a *agent) addr() string { return a.discovery.Addr().String() }

// entries are the servers that are not gone. a.mutex must be held.
func (a *agent) entries() (list []fakeservers.Instance) {
	for _, id := range a.ids {
		if e := a.instances[id]; e.Lifecycle != "gone" {
			list = append(list, e)
		}
	}
	return list
}

// knownList is the list in its wire form, for the configuration of a broker.
func (a *agent) knownList() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return fakeservers.ListMessage(0, true, a.entries())
}

// update replaces or adds an entry, and sends the list to the broker.
func (a *agent) update(e fakeservers.Instance) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, known := a.instances[e.ID]; !known {
		a.ids = append(a.ids, e.ID)
	}
	a.instances[e.ID] = e
	list := a.entries()
	a.discovery.Replace(list)
}

// close ends the agent.
func (a *agent) close() { a.discovery.Close() }
