package agent

import (
	"context"
	"errors"
	"sync"

	"kestrelspread/internal/node/controlapi"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// errUnavailable says that the chain, or the home of a service, did not answer in time. Its text goes
// to the caller.
var errUnavailable = errors.New("not available now")

// pendingRequests holds the calls of this node's API that wait for an answer of the control loop. Each
// waits on a channel with room for its one answer, so that the loop never blocks.
type pendingRequests struct {
	mutex    sync.Mutex // guards the fields below
	lastID   uint64
	commands map[uint64]chan core.Reply
	registry map[uint64]chan core.RegistryReply
}

// newPendingRequests returns an empty table.
func newPendingRequests() *pendingRequests {
	return &pendingRequests{commands: map[uint64]chan core.Reply{}, registry: map[uint64]chan core.RegistryReply{}}
}

// addPending adds a call to one of p's maps, and returns its number and the channel of its answer. Numbers
// are unique over both maps.
func addPending[T any](p *pendingRequests, waiting map[uint64]chan T) (uint64, <-chan T) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastID++
	answer := make(chan T, 1)
	waiting[p.lastID] = answer
	return p.lastID, answer
}

// answerPending hands an answer to the call of one of p's maps that waits for it, if it still does.
func answerPending[T any](p *pendingRequests, waiting map[uint64]chan T, request uint64, reply T) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answer, ok := waiting[request]; ok {
		delete(waiting, request)
		answer <- reply
	}
}

// remove forgets a call; a later answer is dropped.
func (p *pendingRequests) remove(request uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.commands, request)
	delete(p.registry, request)
}

// answerCommand hands the chain's answer to the call that waits for it.
func (p *pendingRequests) answerCommand(reply core.Reply) {
	answerPending(p, p.commands, reply.Request, reply)
}

// answerRegistry hands the registry's answer to the call that waits for it.
func (p *pendingRequests) answerRegistry(reply core.RegistryReply) {
	answerPending(p, p.registry, reply.Request, reply)
}

// loopCall starts a call on the control side, given the request number that its answer carries.
type loopCall func(now core.Time, request uint64) []core.Output

// callLoop makes a call on the control loop and waits for its answer in one of the maps of the agent's
// pending requests. The error is the context's.
func callLoop[T any](ctx context.Context, a *Agent, waiting map[uint64]chan T, call loopCall) (T, error) {
	request, answers := addPending(a.requests, waiting)
	defer a.requests.remove(request)
	a.post(func(now core.Time) { a.execute(now, call(now, request)) })
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// backend executes the calls of brokers and operators on the control loop.
type backend struct{ agent *Agent }

var _ controlapi.Backend = backend{}

// Heartbeat implements controlapi.Backend.
func (b backend) Heartbeat(ctx context.Context, instance *nodepb.Instance) (controlapi.HeartbeatAnswer, error) {
	answer, err := b.registry(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Heartbeat(now, request, instance)
	})
	return controlapi.HeartbeatAnswer{HeartbeatURL: answer.HeartbeatURL}, err
}

// Deregister implements controlapi.Backend.
func (b backend) Deregister(ctx context.Context, id string) error {
	_, err := b.registry(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Deregister(now, request, id)
	})
	return err
}

// registry makes a call to the registry. A call that the registry didn't accept is unavailable.
func (b backend) registry(ctx context.Context, call loopCall) (core.RegistryReply, error) {
	reply, err := callLoop(ctx, b.agent, b.agent.requests.registry, call)
	if err == nil && !reply.Accepted {
		err = errUnavailable
	}
	return reply, err
}

// Submit implements controlapi.Backend.
func (b backend) Submit(ctx context.Context, command *nodepb.Command) (*nodepb.CommandResult, error) {
	reply, err := b.command(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Submit(now, request, command)
	})
	change := command.GetConfigChange()
	if err != nil || reply.Result.GetCode() != nodepb.ResultCode_TAKEN || change.GetBaseVersion() == 0 {
		return reply.Result, err // nobody held a configuration before the first one
	}
	if err := b.agent.awaitIsolation(ctx, reply.Result.GetVersion()); err != nil {
		return nil, err
	}
	return reply.Result, nil
}

// Fetch implements controlapi.Backend.
func (b backend) Fetch(ctx context.Context) ([]byte, error) {
	reply, err := b.command(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Read(now, request)
	})
	if err != nil {
		return nil, err
	}
	if reply.State == nil {
		return nil, errUnavailable
	}
	return fetchSnapshot(reply.State.State)
}

// command makes a call to the chain.
func (b backend) command(ctx context.Context, call loopCall) (core.Reply, error) {
	return callLoop(ctx, b.agent, b.agent.requests.commands, call)
}
