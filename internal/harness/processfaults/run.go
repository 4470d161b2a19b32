package processfaults

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"kestrelspread/internal/harness/confighistory"
	"kestrelspread/internal/harness/fleet"
)

const (
	// bootstrapTimeout bounds the start of the fleet, recoveryTimeout the time until it agrees and serves after the last fault
	// (RULES.md, recoveryS).
	bootstrapTimeout = 30 * time.Second
	recoveryTimeout  = 12 * time.Second
	// answersAfterRecovery is how many requests of each kind must be answered then.
	answersAfterRecovery = 2
	// calmBefore is the time with load but without faults at the start.
	calmBefore      = 500 * time.Millisecond
	requestInterval = 250 * time.Millisecond // between two requests of one client, in the mean
	historyTimeout  = 30 * time.Second
)

// Options of a run.
type Options struct {
	Binary string    // path of kestrelnode
	Dir    string    // keeps settings, disks and logs; empty: a temporary directory
	Trace  io.Writer // gets a line for each event; nil: none
}

// Result is the result of a run.
type Result struct {
	Plan       *Plan
	Violations []string
	Changes    int // acknowledged
	Reads      int
	Probes     int // requests with revoked keys
	Tally      fleet.Tally
	Recovery   time.Duration // from the end of the last fault until the fleet agreed and served
}

// run is one run.
type run struct {
	plan           *Plan
	options        Options
	fleet          *fleet.Fleet
	load           *fleet.Load
	ctx            context.Context
	startedAt      time.Time
	operators      []*operator
	keys           *revokedKeys
	claims         *claims // by faults of processes that last
	isolation      *isolation
	tenants        *tenantOrder
	tenantFault    sync.Mutex // held by the fault that has operators change the tenants: each is to take effect by itself
	weightsVersion uint64
	actions        sync.WaitGroup // faults that end by themselves
	background     sync.WaitGroup

	mutex      sync.Mutex // guards what follows
	violations []string
	seriesSent int // requests of series that take keys away
}

// Play starts a fleet and plays the plan. The error says that the fleet could not be started, or that ctx has ended.
func Play(ctx context.Context, plan *Plan, options Options) (*Result, error) {
	started, err := fleet.Start(fleet.Options{
		Binary: options.Binary, Dir: options.Dir, Bounds: fleet.DefaultBounds(), Seed: plan.Seed,
		Nodes: plan.Nodes, Relayed: plan.relayed(), LeavingClients: true,
	})
	if err != nil {
		return nil, err
	}
	defer started.Close()
	r := &run{
		plan: plan, options: options, fleet: started, startedAt: time.Now(), claims: newClaims(), isolation: newIsolationOrder(),
		tenants: &tenantOrder{}, weightsVersion: 1,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = ctx
	if err := r.begin(); err != nil {
		return nil, err
	}
	if err := r.injectAll(); err != nil {
		return nil, err
	}
	result := &Result{Plan: plan, Recovery: r.awaitRecovery()}
	r.finish(result)
	return result, ctx.Err()
}

// begin waits until the fleet serves, and starts the load, the operators and the requests with revoked keys.
func (r *run) begin() error {
	ctx, cancel := context.WithTimeout(r.ctx, bootstrapTimeout)
	defer cancel()
	if err := r.fleet.Bootstrap(ctx); err != nil {
		return err
	}
	r.load = r.fleet.StartLoad(requestInterval)
	r.keys = newRevokedKeys(r)
	r.background.Go(r.keys.probe)
	for number := range operatorCount {
		o := newOperator(r, number)
		r.operators = append(r.operators, o)
		r.background.Go(o.work)
	}
	return r.sleep(calmBefore)
}

// sleep waits; the error is that of the run's context.
func (r *run) sleep(duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// event is the begin or the end of a fault.
type event struct {
	runAt time.Duration // from the start of the fault phase
	run   func()
}

// injectAll injects the plan's faults at their times, in one goroutine, and ends them.
func (r *run) injectAll() error {
	var events []event
	for _, fault := range r.plan.Faults {
		events = append(events, event{runAt: fault.Start(), run: func() {
			r.logf("begin %v", fault)
			end := injectors[fault.Kind](r, fault)
			if end == nil {
				return
			}
			ended := event{runAt: fault.Start() + fault.Duration(), run: func() {
				r.logf("end   %v", fault)
				end()
			}}
			position, _ := slices.BinarySearchFunc(events, ended, func(a, b event) int { return cmp.Compare(a.runAt, b.runAt) })
			events = slices.Insert(events, position, ended)
		}})
	}
	begunAt := time.Now()
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		if err := r.sleep(next.runAt - time.Since(begunAt)); err != nil {
			return err
		}
		next.run()
	}
	r.actions.Wait()
	return nil
}

// awaitRecovery waits until all nodes agree and requests of each kind are answered, and returns the time that it took.
func (r *run) awaitRecovery() time.Duration {
	begunAt := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, recoveryTimeout)
	defer cancel()
	if err := r.fleet.AwaitAgreement(ctx); err != nil {
		r.fail("no agreement within %v after the last fault: %v", recoveryTimeout, err)
	}
	if err := r.load.AwaitAnswers(ctx, answersAfterRecovery); err != nil {
		r.fail("requests are not answered within %v after the last fault: %v", recoveryTimeout, err)
	}
	return time.Since(begunAt)
}

// coreComplete reports whether all nodes run, agree and are in the chain right now.
func (r *run) coreComplete() bool {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	return r.claims.none() && r.fleet.Agrees(ctx) == nil
}

// finish stops all callers, and checks what was observed.
func (r *run) finish(result *Result) {
	for _, o := range r.operators {
		o.stop()
	}
	r.keys.stop()
	r.background.Wait()
	r.load.Stop()
	r.checkReadBack()
	r.checkHistory(result)
	for _, violation := range r.fleet.Check(r.load) {
		r.fail("%v", violation)
	}
	counts := r.fleet.Count(r.load, 1)
	result.Tally = counts.Total()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result.Probes = r.keys.count() + r.seriesSent
	result.Violations = r.violations
}

// checkReadBack checks that the newest acknowledged configuration is read.
func (r *run) checkReadBack() {
	ctx, cancel := context.WithTimeout(r.ctx, recoveryTimeout)
	defer cancel()
	for _, o := range r.operators {
		if err := o.readLast(ctx); err != nil {
			r.fail("%v", err)
		}
	}
}

// checkHistory checks the history of changes and reads of all operators.
func (r *run) checkHistory(result *Result) {
	history := &confighistory.History{}
	first := r.fleet.Operator.Acknowledged()[0]
	history.AddChange(confighistory.Change{
		OrderID: firstOrder, Version: first.Configuration.Version, Status: statusOK,
		CalledAt: first.SentAt.Sub(r.startedAt), ReturnedAt: first.ReceivedAt.Sub(r.startedAt),
	})
	for _, o := range r.operators {
		result.Changes += o.acknowledged
		result.Reads += len(o.reads)
		for _, change := range o.changes {
			history.AddChange(change)
		}
		for _, read := range o.reads {
			history.AddRead(read)
		}
	}
	switch history.Check(historyTimeout) {
	case confighistory.NotLinearizable:
		r.fail("the history of %d changes and reads is not linearizable", history.Len())
	case confighistory.Undecided:
		r.logf("the history of %d changes and reads was not decided in %v", history.Len(), historyTimeout)
	}
}

// fail records a violation.
func (r *run) fail(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.logf("VIOLATION %s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, text)
}

// logf writes a line of the trace.
func (r *run) logf(format string, arguments ...any) {
	if r.options.Trace == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.options.Trace, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}
