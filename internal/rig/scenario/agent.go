package scenario

import (
	"sync"

	"kestrelspread/internal/standin/sockets"
)

// agent is discovery on a broker's own machine: what it has been sent it tells at once.
type agent struct {
	discovery *sockets.Discovery
	mutex     sync.Mutex
	instances map[string]sockets.Instance
	ids       []string
}

func newAgent(list []sockets.Instance) (*agent, error) {
	a := &agent{instances: map[string]sockets.Instance{}}
	for _, e := range list {
		a.instances[e.ID] = e
		a.ids = append(a.ids, e.ID)
	}
	var err error
	a.discovery, err = sockets.StartDiscovery(list)
	return a, err
}

func (a *agent) addr() string { return a.discovery.Addr().String() }

func (a *agent) entries() (list []sockets.Instance) {
	for _, id := range a.ids {
		if e := a.instances[id]; e.Lifecycle != "gone" {
			list = append(list, e)
		}
	}
	return list
}

func (a *agent) knownList() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return sockets.List(0, true, a.entries())
}

func (a *agent) update(e sockets.Instance) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, known := a.instances[e.ID]; !known {
		a.ids = append(a.ids, e.ID)
	}
	a.instances[e.ID] = e
	list := a.entries()
	a.discovery.Replace(list)
}

func (a *agent) close() { a.discovery.Close() }
