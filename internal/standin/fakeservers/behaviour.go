// Package fakeservers has simulated servers on loopback that a broker speaks with, written from PROTOCOL and from gRPC's public
// specification: discovery, and servers of frames and of gRPC. Their behaviour can be changed while they run. It does not model what
// answers cost real servers.
package fakeservers

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Behaviour is how a server answers. The atomic fields may be changed while the server runs, the others before.
type Behaviour struct {
	MedianMs       float64 // of the service time, which is log-normal
	Sigma          float64
	SlowdownFactor atomic.Int64 // of the service time; 0 is 1
	Unresponsive   atomic.Bool  // requests are accepted, and not answered
	CallCount      atomic.Int64
	OnRequest      func(id string) (done func(status string)) // called as a request arrives; done as its answer is sent
	// Serve, if set, serves a request instead of the service time above. It returns the status of the answer: OK, ERROR or REJECTED;
	// empty: none is sent.
	Serve func(ctx context.Context, id string, shard int) string
}

// wait takes the service time of one answer. false: no answer is to be sent; the context has ended.
func (b *Behaviour) wait(ctx context.Context) bool {
	b.CallCount.Add(1)
	serviceMs := b.MedianMs * math.Exp(b.Sigma*rand.NormFloat64()) * float64(max(b.SlowdownFactor.Load(), 1))
	if b.MedianMs > 0 {
		timer := time.NewTimer(time.Duration(serviceMs * 1e6))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	if b.Unresponsive.Load() {
		<-ctx.Done()
		return false
	}
	return true
}

// ShardResult is the result of a shard for a query: the same at each replica.
func ShardResult(shard int, text string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", shard, text)
	return fmt.Sprintf("%016x", h.Sum64())
}
