package scenario

import (
	"sync"

	"kestrelspread/internal/standin/sockets"
)

// agent is discovery on a broker's own machine: what it has been sent it tells at once.
type agent struct {
	d    *sockets.Discovery
	lock sync.Mutex
	list map[string]sockets.Instance
	ids  []string
}

func newAgent(list []sockets.Instance) (*agent, error) {
	a := &agent{list: map[string]sockets.Instance{}}
	for _, e := range list {
		a.list[e.ID] = e
		a.ids = append(a.ids, e.ID)
	}
	var err error
	a.d, err = sockets.StartDiscovery(list)
	return a, err
}

func (a *agent) addr() string { return a.d.Addr().String() }

func (a *agent) entries() (list []sockets.Instance) {
	for _, id := range a.ids {
		if e := a.list[id]; e.Lifecycle != "gone" {
			list = append(list, e)
		}
	}
	return list
}

func (a *agent) known() string {
	a.lock.Lock()
	defer a.lock.Unlock()
	return sockets.List(0, true, a.entries())
}

func (a *agent) tell(e sockets.Instance) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if _, known := a.list[e.ID]; !known {
		a.ids = append(a.ids, e.ID)
	}
	a.list[e.ID] = e
	list := a.entries()
	a.d.Replace(list)
}

func (a *agent) close() { a.d.Close() }
