package processfaults

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
)

// probeInterval is the time between two requests with revoked keys.
const probeInterval = 60 * time.Millisecond

// revokedKeys sends requests with keys that were revoked longer ago than the bound, to any node.
type revokedKeys struct {
	run    *run
	bound  time.Duration
	random *rand.Rand
	ctx    context.Context
	cancel context.CancelFunc

	mutex  sync.Mutex
	keys   []revokedKey
	probes int
}

type revokedKey struct {
	key       string
	revokedAt time.Time // when the change without it was acknowledged
}

func newRevokedKeys(r *run) *revokedKeys {
	k := &revokedKeys{run: r, bound: fleet.DefaultBounds().Revoke, random: rand.New(rand.NewPCG(r.plan.Seed, operatorCount))}
	k.ctx, k.cancel = context.WithCancel(r.ctx)
	return k
}

func (k *revokedKeys) stop() { k.cancel() }

// count is the number of requests so far.
func (k *revokedKeys) count() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.probes
}

// revoke records that the change without a key was acknowledged; an empty key is none.
func (k *revokedKeys) revoke(key string, acknowledgedAt time.Time) {
	if key == "" {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.keys = append(k.keys, revokedKey{key, acknowledgedAt})
}

// probe sends requests until stop. A node that serves one is a violation.
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
		key, ok := k.pick()
		node := k.run.fleet.Nodes[k.random.IntN(len(k.run.fleet.Nodes))]
		if !ok || !node.Running() {
			continue
		}
		sending.Go(func() { k.request(node, key) }) // a frozen node answers late
	}
}

// pick returns a key that must not be served any more, one of the newest first.
func (k *revokedKeys) pick() (revokedKey, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	due := 0
	for due < len(k.keys) && time.Since(k.keys[due].revokedAt) > k.bound {
		due++
	}
	if due == 0 {
		return revokedKey{}, false
	}
	k.probes++
	newest := min(due, 5)
	return k.keys[due-1-k.random.IntN(newest)], true
}

// request sends one request with the key.
func (k *revokedKeys) request(node *fleet.Node, revoked revokedKey) {
	age := time.Since(revoked.revokedAt)
	if status := k.run.load.ProbeKey(node, revoked.key); status == http.StatusOK {
		k.run.fail("%s serves key %s, which was revoked %v before the request", node.Name, revoked.key, age.Round(time.Millisecond))
	}
}
