package processfaults

import (
	"sync"

	"kestrelspread/internal/harness/fleet"
)

// claims reserves nodes for faults of their processes, so that no two of them start or end a process
// at the same time. It is safe for concurrent use.
type claims struct {
	mutex   sync.Mutex
	claimed map[*fleet.Node]bool
}

func newClaims() *claims { return &claims{claimed: map[*fleet.Node]bool{}} }

// claim reserves a node whose process runs; false: it does not, or is reserved.
func (c *claims) claim(node *fleet.Node) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.claimed[node] || !node.Running() {
		return false
	}
	c.claimed[node] = true
	return true
}

// release gives a node free.
func (c *claims) release(node *fleet.Node) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.claimed, node)
}

// none reports whether no node is reserved.
func (c *claims) none() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.claimed) == 0
}
