package processfaults

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"kestrelspread/internal/harness/confighistory"
	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
)

const (
	operatorCount = 2
	statusOK      = http.StatusOK
	// firstOrder names the order of the first configuration, which carries no key of an order.
	firstOrder = "first"
	// orderKeyPrefix begins the API key that each order adds; what follows is the order's id.
	orderKeyPrefix = fleet.SharedKeyPrefix
	// maxOperatorInterval bounds the pause between two calls.
	maxOperatorInterval = 250 * time.Millisecond
	readsPerChange      = 3 // one call in so many is a read
)

// markerService is a service without routes and brokers, whose health check names the order of a configuration where no key does.
const (
	markerService = "order"
	markerPrefix  = "/" // of the health check, before the order's ID
)

// operator submits changes and reads, one after another, and records them. Each change replaces the API key of the order that it
// builds on by its own, so that a configuration names its order, and a key is revoked with each change. Where a fault has the tenants
// taken away, markerService names the order.
type operator struct {
	run     *run
	number  int
	client  *fleetoperator.Operator
	random  *rand.Rand
	ctx     context.Context
	cancel  context.CancelFunc
	known   fleetoperator.Configuration // the newest one read or made
	changes []confighistory.Change
	reads   []confighistory.Read

	acknowledged int
}

func newOperator(r *run, number int) *operator {
	o := &operator{
		run: r, number: number, client: fleetoperator.New(r.fleet.ControlAddresses, nil),
		random: rand.New(rand.NewPCG(r.plan.Seed, uint64(number))),
	}
	o.ctx, o.cancel = context.WithCancel(r.ctx)
	return o
}

// work makes calls until stop. The one in progress then ends without a definite answer.
func (o *operator) work() {
	defer o.client.Close()
	o.read(o.ctx)
	for o.ctx.Err() == nil {
		if o.random.IntN(readsPerChange) == 0 {
			o.read(o.ctx)
		} else {
			o.change()
		}
		timer := time.NewTimer(time.Duration(o.random.Int64N(int64(maxOperatorInterval))))
		select {
		case <-o.ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (o *operator) stop() { o.cancel() }

// now is the time since the start of the run.
func (o *operator) now() time.Duration { return time.Since(o.run.startedAt) }

// read reads the configuration in force; nothing is recorded if none is read.
func (o *operator) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	calledAt := o.now()
	read, err := o.client.Fetch(ctx)
	if err != nil {
		return
	}
	o.known = read
	o.reads = append(o.reads, confighistory.Read{Document: documentOf(read), CalledAt: calledAt, ReturnedAt: o.now()})
}

// readLast reads the configuration at the end of the run, which must succeed.
func (o *operator) readLast(ctx context.Context) error {
	before := len(o.reads)
	o.read(ctx)
	if len(o.reads) == before {
		return errors.New("the configuration can't be read at the end")
	}
	return nil
}

// change submits a change of the configuration that the operator knows.
func (o *operator) change() {
	id := fmt.Sprintf("%d.%d", o.number, len(o.changes))
	before := o.known
	change := confighistory.Change{
		OrderID: id, BaseVersion: before.Version, Version: before.Version + 1 + uint64(o.random.IntN(3)), CalledAt: o.now(),
	}
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	step, isolates := o.run.tenants.current(), o.run.isolation.wanted()
	order := newOrder(before, change.Version, id, step, isolates)
	sentAt := time.Now()
	acknowledged, err := order.send(ctx, o.client, before)
	change.ReturnedAt = o.now()
	change.Status = statusOf(err)
	o.changes = append(o.changes, change)
	o.run.logf("operator %d: %s on version %d as %d: %d", o.number, id, change.BaseVersion, change.Version, change.Status)
	if err == nil || errors.Is(err, fleetoperator.ErrUnclear) {
		o.run.fleet.RecordOrder(order.made, sentAt, acknowledged.ReceivedAt)
	}
	switch {
	case err == nil:
		o.acknowledged++
		o.known = acknowledged.Configuration
		if isolates && isIsolated(o.known) && o.run.isolation.acknowledged(acknowledged.ReceivedAt) {
			o.run.fleet.RecordIsolation(acknowledged.ReceivedAt)
		}
		if replaced, key := orderKey(before), orderKey(o.known); replaced != key {
			o.run.keys.replaced(replaced, key, acknowledged.ReceivedAt)
		}
		o.run.tenants.acknowledged(step, o.known, acknowledged.ReceivedAt)
	case errors.Is(err, fleetoperator.ErrConflict), errors.Is(err, fleetoperator.ErrUnclear):
		o.read(o.ctx)
	default:
		o.run.fail("order %s on version %d: %v", id, change.BaseVersion, err)
	}
}

// statusOf is the HTTP status that the error of an order stands for; 0: no definite answer.
func statusOf(err error) int {
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, fleetoperator.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, fleetoperator.ErrRejected):
		return http.StatusBadRequest
	default:
		return 0
	}
}

// documentOf identifies a configuration by its version and its order.
func documentOf(c fleetoperator.Configuration) confighistory.Document {
	id := firstOrder
	if key := orderKey(c); key != "" {
		id = strings.TrimPrefix(key, orderKeyPrefix)
	}
	for _, service := range c.Services {
		if service.Name == markerService {
			id = strings.TrimPrefix(service.HealthCheck, markerPrefix)
		}
	}
	return confighistory.Document{Version: c.Version, OrderID: id}
}

// isIsolated reports whether a configuration isolates the tenant of fleet.IsolatedLater.
func isIsolated(c fleetoperator.Configuration) bool {
	return slices.ContainsFunc(c.Tenants, func(tenant config.Tenant) bool { return equalTenants(tenant, fleet.IsolatedLater()) })
}

// orderKey is the API key of the order that made a configuration; empty: the first one has none.
func orderKey(c fleetoperator.Configuration) string {
	for _, tenant := range c.Tenants {
		for _, key := range tenant.APIKeys {
			if strings.HasPrefix(key, orderKeyPrefix) {
				return key
			}
		}
	}
	return ""
}
