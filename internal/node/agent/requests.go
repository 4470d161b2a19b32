package agent

import (
	"context"
	"errors"
	"sync"

	"kestrelspread/internal/node/controlapi"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// errUnavailable: the control state, or the home of a service, did not answer in time.
var errUnavailable = errors.New("not available now")

// pendingRequests holds the calls of this node's API that wait for an answer of the control loop.
type pendingRequests struct {
	mutex    sync.Mutex
	next     uint64
	commands map[uint64]chan core.Reply
	registry map[uint64]chan core.RegistryReply
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{commands: map[uint64]chan core.Reply{}, registry: map[uint64]chan core.RegistryReply{}}
}

func (p *pendingRequests) addCommand() (uint64, chan core.Reply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.next++
	answer := make(chan core.Reply, 1)
	p.commands[p.next] = answer
	return p.next, answer
}

func (p *pendingRequests) addRegistry() (uint64, chan core.RegistryReply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.next++
	answer := make(chan core.RegistryReply, 1)
	p.registry[p.next] = answer
	return p.next, answer
}

func (p *pendingRequests) remove(request uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.commands, request)
	delete(p.registry, request)
}

func (p *pendingRequests) answerCommand(reply core.Reply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answer, ok := p.commands[reply.Request]; ok {
		delete(p.commands, reply.Request)
		answer <- reply
	}
}

func (p *pendingRequests) answerRegistry(reply core.RegistryReply) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answer, ok := p.registry[reply.Request]; ok {
		delete(p.registry, reply.Request)
		answer <- reply
	}
}

// backend serves the calls of brokers and operators.
type backend struct{ agent *Agent }

var _ controlapi.Backend = backend{}

func (b backend) Heartbeat(ctx context.Context, instance *nodepb.Instance) (controlapi.HeartbeatAnswer, error) {
	answer, err := b.registry(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Heartbeat(now, request, instance)
	})
	return controlapi.HeartbeatAnswer{HeartbeatURL: answer.HeartbeatURL}, err
}

func (b backend) Deregister(ctx context.Context, id string) error {
	_, err := b.registry(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Deregister(now, request, id)
	})
	return err
}

func (b backend) registry(ctx context.Context, call func(core.Time, uint64) []core.Output) (core.RegistryReply, error) {
	request, answers := b.agent.requests.addRegistry()
	defer b.agent.requests.remove(request)
	b.agent.post(func(now core.Time) { b.agent.carryOut(now, call(now, request)) })
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

func (b backend) Submit(ctx context.Context, command *nodepb.Command) (*nodepb.CommandResult, error) {
	reply, err := b.command(ctx, func(now core.Time, request uint64) []core.Output {
		return b.agent.control.Submit(now, request, command)
	})
	return reply.Result, err
}

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

func (b backend) command(ctx context.Context, call func(core.Time, uint64) []core.Output) (core.Reply, error) {
	request, answers := b.agent.requests.addCommand()
	defer b.agent.requests.remove(request)
	b.agent.post(func(now core.Time) { b.agent.carryOut(now, call(now, request)) })
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return core.Reply{}, ctx.Err()
	}
}
