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

// addCommand adds a call to the chain, and returns its number and the channel of its answer.
func (p *pendingRequests) addCommand() (uint64, chan core.Reply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastID++
	answer := make(chan core.Reply, 1)
	p.commands[p.lastID] = answer
	return p.lastID, answer
}

// addRegistry adds a call to the registry, and returns its number and the channel of its answer.
func (p *pendingRequests) addRegistry() (uint64, chan core.RegistryReply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastID++
	answer := make(chan core.RegistryReply, 1)
	p.registry[p.lastID] = answer
	return p.lastID, answer
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
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answer, ok := p.commands[reply.Request]; ok {
		delete(p.commands, reply.Request)
		answer <- reply
	}
}

// answerRegistry hands the registry's answer to the call that waits for it.
func (p *pendingRequests) answerRegistry(reply core.RegistryReply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answer, ok := p.registry[reply.Request]; ok {
		delete(p.registry, reply.Request)
		answer <- reply
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

// registry makes a call to the registry and waits for its answer.
func (b backend) registry(ctx context.Context, call func(core.Time, uint64) []core.Output) (core.RegistryReply, error) {
	request, answers := b.agent.requests.addRegistry()
	defer b.agent.requests.remove(request)
	b.agent.post(func(now core.Time) { b.agent.execute(now, call(now, request)) })
	select {
	case answer := <-answers:
		if !answer.Accepted {
			return answer, errUnavailable
		}
		return answer, nil
	case <-ctx.Done():
		return core.RegistryReply{}, ctx.Err()
	}
}

// Submit implements controlapi.Backend.
func (b backend) Submit(ctx context.Context, command *nodepb.Command) (*nodepb.CommandResult, error) {
	reply, err := b.command(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Submit(now, request, command)
	})
	return reply.Result, err
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

// command makes a call to the chain and waits for its answer.
func (b backend) command(ctx context.Context, call func(core.Time, uint64) []core.Output) (core.Reply, error) {
	request, answers := b.agent.requests.addCommand()
	defer b.agent.requests.remove(request)
	b.agent.post(func(now core.Time) { b.agent.execute(now, call(now, request)) })
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return core.Reply{}, ctx.Err()
	}
}
