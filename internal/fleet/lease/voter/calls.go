package voter

import (
	"context"
	"errors"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/transport"
)

// ErrBusy says that this voter's queue is full, or that it is closing.
var ErrBusy = errors.New("this voter is busy")

// enqueue hands an event to the owning goroutine; false: its queue is full.
func (s *Server) enqueue(handle func()) bool {
	select {
	case s.events <- handle:
		return true
	default:
		return false
	}
}

// call has something handled by the owning goroutine, through one of its queues, and waits for
// the reply. What nobody waits for any more is skipped: it would only keep others waiting.
func call[Reply any](ctx context.Context, s *Server, queue chan func(), handle func(reply func(Reply))) (result Reply, err error) {
	replies := make(chan Reply, 1)
	reply := func(r Reply) {
		select {
		case replies <- r:
		default:
		}
	}
	task := func() {
		if ctx.Err() == nil {
			handle(reply)
		}
	}
	select {
	case queue <- task:
	default:
		return result, ErrBusy
	}
	select {
	case result = <-replies:
		return result, nil
	case <-ctx.Done():
		return result, ctx.Err()
	case <-s.quit:
		return result, ErrBusy
	}
}

// participates tells whether this voter belongs to a group and has not halted.
func (s *Server) participates() bool { return s.replica != nil && s.fault == "" }

// handleRaft drops messages to another group, or to the voter that a former disk was.
func (s *Server) handleRaft(groupID uint64, m raftpb.Message) {
	s.enqueue(func() {
		if s.participates() && groupID == s.store.GroupID && m.To == s.store.VoterID {
			s.replica.HandleMessage(Now(), m)
		}
	})
}

func (s *Server) handleHello(ctx context.Context, hello membership.Hello) (membership.Hello, error) {
	return call(ctx, s, s.events, func(reply func(membership.Hello)) {
		s.membership.HandleHello(Now(), hello)
		reply(s.membership.Self())
	})
}

func (s *Server) handleRequest(ctx context.Context, request replica.Request) (transport.Response, error) {
	return call(ctx, s, s.requests, func(reply func(transport.Response)) {
		if !s.participates() {
			reply(transport.Response{Response: replica.Response{SentAt: request.SentAt}})
			return
		}
		s.replica.HandleRequest(Now(), request, func(r replica.Response) {
			reply(transport.Response{Response: r, LeaderName: s.voterName(r.LeaderID)})
		})
	})
}

func (s *Server) handleCommand(ctx context.Context, c lease.Command) (transport.CommandResult, error) {
	return call(ctx, s, s.commands, func(reply func(transport.CommandResult)) {
		if !s.participates() || !s.replica.IsLeader() {
			reply(s.notLeaderResult())
			return
		}
		s.replica.Submit(Now(), c, func(r lease.Result) {
			reply(transport.CommandResult{
				OK:           r.OK,
				OutcomeKnown: r.Index > 0,
				Reason:       r.Reason,
				Role:         r.Role,
				LeaderName:   s.options.Name,
			})
		})
	})
}

// notLeaderResult rejects a command, and names the leader where it is known.
func (s *Server) notLeaderResult() transport.CommandResult {
	result := transport.CommandResult{Reason: consensus.ErrNotLeader.Error()}
	if s.replica != nil {
		result.LeaderName = s.voterName(s.replica.LeaderID())
	}
	return result
}
