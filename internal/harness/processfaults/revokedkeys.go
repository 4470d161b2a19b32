package processfaults

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
)

// probeInterval is the time between two requests of a prober.
const probeInterval = 60 * time.Millisecond

// revokedKeys sends requests with keys that were revoked longer ago than the bound. A node that misses changes would serve the key
// that was in force when it last heard of one. So each node is also sent the newest key, and the one that it served last as soon as
// that must not be served any more.
type revokedKeys struct {
	run    *run
	bound  time.Duration
	random *rand.Rand
	ctx    context.Context
	cancel context.CancelFunc

	mutex     sync.Mutex
	newest    string               // key in force, as far as operators know; empty: none yet
	revokedAt map[string]time.Time // when the change without the key was acknowledged
	revoked   []string             // the keys of revokedAt, in their order
	served    map[string]string    // by node, the key that it served last
	probes    int                  // requests with revoked keys
}

func newRevokedKeys(r *run) *revokedKeys {
	k := &revokedKeys{
		run: r, bound: fleet.DefaultBounds().Revoke, random: rand.New(rand.NewPCG(r.plan.Seed, operatorCount)),
		revokedAt: map[string]time.Time{}, served: map[string]string{},
	}
	k.ctx, k.cancel = context.WithCancel(r.ctx)
	return k
}

func (k *revokedKeys) stop() { k.cancel() }

// count is the number of requests with revoked keys so far.
func (k *revokedKeys) count() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.probes
}

// replaced records that the change that replaces a key by another was acknowledged; an empty key is none.
func (k *revokedKeys) replaced(key, successor string, acknowledgedAt time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if key != "" {
		k.revokedAt[key] = acknowledgedAt
		k.revoked = append(k.revoked, key)
	}
	k.newest = successor
}

// probe sends requests until stop. A node that serves a key which was revoked longer ago than the bound is a violation.
func (k *revokedKeys) probe() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
		}
		node := k.run.fleet.Nodes[k.random.IntN(len(k.run.fleet.Nodes))]
		if !node.Running() {
			continue
		}
		sending.Go(func() { k.probeNode(node) }) // a frozen node answers late
	}
}

// probeNode sends the node the key that it served last, if it must not be served any more, and else the newest one.
func (k *revokedKeys) probeNode(node *fleet.Node) {
	key, revokedFor := k.pick(node.Name)
	if key == "" || k.run.load.ProbeKey(node, key) != http.StatusOK {
		return
	}
	if revokedFor > k.bound {
		k.run.fail("%s serves key %s, which was revoked %v before the request", node.Name, key, revokedFor.Round(time.Millisecond))
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.served[node.Name] = key
}

// newestDue is how many of the keys that must not be served any more are sent, the newest ones.
const newestDue = 10

// pick returns the key to send to a node, and how long ago it was revoked; 0: it was not.
func (k *revokedKeys) pick(node string) (key string, revokedFor time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if key := k.served[node]; k.due(key) {
		delete(k.served, node) // if it is refused, others are tried next
		return k.countProbe(key)
	}
	due := len(k.revoked)
	for due > 0 && !k.due(k.revoked[due-1]) {
		due--
	}
	if due == 0 || rand.IntN(2) == 0 {
		return k.newest, 0
	}
	return k.countProbe(k.revoked[due-1-rand.IntN(min(due, newestDue))])
}

// due reports whether the key must not be served any more. The mutex is held.
func (k *revokedKeys) due(key string) bool {
	at, revoked := k.revokedAt[key]
	return revoked && time.Since(at) > k.bound
}

// countProbe counts a request with a key that must not be served, and returns the key and how long ago it was revoked.
func (k *revokedKeys) countProbe(key string) (string, time.Duration) {
	k.probes++
	return key, time.Since(k.revokedAt[key])
}
