// Package transport carries what voters and instances say to each other, by grpc-go under its library's own types: a message is
// bytes in a BytesValue. It decides nothing: what is late, lost or of another group is for those who read it.
package transport

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
)

// Response is a voter's to an instance's question. Leader: the name of who is to be asked instead.
type Response struct {
	replica.Response
	LeaderName string `json:"leader_name,omitempty"`
}

// CommandResult tells what became of a command. Known false: it may or may not have been agreed on.
type CommandResult struct {
	OK           bool       `json:"ok"`
	OutcomeKnown bool       `json:"known"`
	Reason       string     `json:"why,omitempty"`
	Role         lease.Role `json:"duty"`
	LeaderName   string     `json:"leader_name,omitempty"`
}

// VoterStatus is one in a view.
type VoterStatus struct {
	Name           string  `json:"name"`
	ID             uint64  `json:"id"`
	Learner        bool    `json:"learner,omitempty"`
	Leaving        bool    `json:"leaving,omitempty"` // its vote counts until the change that is under way is over
	MatchIndex     uint64  `json:"match,omitempty"`   // up to which it has the log, as the leader knows
	SinceContactMs float64 `json:"heard_ms"`          // since it was last heard of; below 0: never, or itself
}

// RoleStatus is a duty's, in a view of the leader's.
type RoleStatus struct {
	lease.Role
	LeaseLeftMs float64 `json:"lease_left_ms"` // by the leader's clock; 0 where it knows of none
}

// Status is what a voter shows operators. Confirmed: a quorum has confirmed since the question came that it leads; else it is
// what this voter last knew.
type Status struct {
	Name          string             `json:"name"`
	VoterID       uint64             `json:"id"`
	GroupID       uint64             `json:"group"`
	Leader        string             `json:"leader,omitempty"`
	IsLeader      bool               `json:"leading"`
	Confirmed     bool               `json:"confirmed"`
	Term          uint64             `json:"term"`
	AppliedIndex  uint64             `json:"applied"`
	NextToken     uint64             `json:"next_token"`
	Voters        []VoterStatus      `json:"voters"`
	Roles         []RoleStatus       `json:"duties"`
	History       []lease.Event      `json:"history,omitempty"`
	RequestAgesMs map[string]float64 `json:"instances,omitempty"` // ms since each last asked, as the leader knows
	DiskFault     string             `json:"disk,omitempty"`      // what is wrong with it
	SyncCount     int64              `json:"syncs"`
	MessagesSent  int64              `json:"sent"`
}

// Handlers take what comes. They may be called side by side, and answer within the context's time.
type Handlers struct {
	Raft          func(group uint64, m raftpb.Message)
	Hello         func(ctx context.Context, h membership.Hello) (membership.Hello, error)
	RequestLeases func(ctx context.Context, q replica.Request) (Response, error)
	SubmitCommand func(ctx context.Context, c lease.Command) (CommandResult, error)
	Status        func(ctx context.Context) (Status, error)
}

const (
	serviceName        = "kestrelspread.Owner"
	maxMessageBytes    = 8 << 20
	maxConcurrentCalls = 256 // open at once from one connection
)

// unaryMethod makes a method of a function from bytes to bytes.
func unaryMethod(name string, do func(ctx context.Context, b []byte) ([]byte, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := &wrapperspb.BytesValue{}
		if err := dec(in); err != nil {
			return nil, err
		}
		out, err := do(ctx, in.Value)
		if err != nil {
			return nil, err
		}
		return wrapperspb.Bytes(out), nil
	}}
}

// jsonHandler makes a function of values one of bytes.
func jsonHandler[Q, A any](do func(ctx context.Context, q Q) (A, error)) func(context.Context, []byte) ([]byte, error) {
	return func(ctx context.Context, b []byte) ([]byte, error) {
		var q Q
		if len(b) > 0 {
			if err := json.Unmarshal(b, &q); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
		}
		a, err := do(ctx, q)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		return json.Marshal(a)
	}
}

// Serve answers on a listener until the returned function is called.
func Serve(l net.Listener, h Handlers) (stop func()) {
	s := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}))
	raft := func(_ context.Context, b []byte) ([]byte, error) {
		if len(b) < 8 {
			return nil, status.Error(codes.InvalidArgument, "too short")
		}
		group := binary.BigEndian.Uint64(b)
		for b = b[8:]; len(b) > 0; {
			var m raftpb.Message
			n, used := binary.Uvarint(b)
			if used <= 0 || n > uint64(len(b)-used) {
				return nil, status.Error(codes.InvalidArgument, "cut short")
			}
			if err := m.Unmarshal(b[used : used+int(n)]); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			b = b[used+int(n):]
			h.Raft(group, m)
		}
		return nil, nil
	}
	s.RegisterService(&grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{unaryMethod("Raft", raft),
		unaryMethod("Hello", jsonHandler(h.Hello)), unaryMethod("Ask", jsonHandler(h.RequestLeases)), unaryMethod("Do", jsonHandler(h.SubmitCommand)),
		unaryMethod("Look", jsonHandler(func(ctx context.Context, _ struct{}) (Status, error) { return h.Status(ctx) }))}}, struct{}{})
	go s.Serve(l)
	return s.Stop
}

// Peer is a voter as seen from here.
type Peer struct{ conn *grpc.ClientConn }

// Dial makes one; it connects when it is first asked, and again whenever that breaks, a second apart at most: a voter that is
// back must not wait for minutes.
func Dial(addr string) (*Peer, error) {
	c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 500 * time.Millisecond,
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}))
	if err != nil {
		return nil, err
	}
	return &Peer{c}, nil
}

func (p *Peer) call(ctx context.Context, method string, b []byte) ([]byte, error) {
	out := &wrapperspb.BytesValue{}
	err := p.conn.Invoke(ctx, "/"+serviceName+"/"+method, wrapperspb.Bytes(b), out)
	return out.Value, err
}

func callJSON[Q, A any](ctx context.Context, p *Peer, method string, q Q) (a A, err error) {
	b, err := json.Marshal(q)
	if err != nil {
		return a, err
	}
	if b, err = p.call(ctx, method, b); err != nil {
		return a, err
	}
	return a, json.Unmarshal(b, &a)
}

// SendRaft brings messages of a group, each as Pack wrote it, together.
func (p *Peer) SendRaft(ctx context.Context, group uint64, packed [][]byte) error {
	b := binary.BigEndian.AppendUint64(nil, group)
	for _, one := range packed {
		b = append(b, one...)
	}
	_, err := p.call(ctx, "Raft", b)
	return err
}

// EncodeMessage writes a message, with its length before it.
func EncodeMessage(m *raftpb.Message) ([]byte, error) {
	text, err := m.Marshal()
	return append(binary.AppendUvarint(make([]byte, 0, len(text)+4), uint64(len(text))), text...), err
}

// Hello tells a voter of another, and gives what it says of itself.
func (p *Peer) Hello(ctx context.Context, h membership.Hello) (membership.Hello, error) {
	return callJSON[membership.Hello, membership.Hello](ctx, p, "Hello", h)
}

// RequestLeases asks for duties.
func (p *Peer) RequestLeases(ctx context.Context, q replica.Request) (Response, error) {
	return callJSON[replica.Request, Response](ctx, p, "Ask", q)
}

// Do gives a command.
func (p *Peer) SubmitCommand(ctx context.Context, c lease.Command) (CommandResult, error) {
	return callJSON[lease.Command, CommandResult](ctx, p, "Do", c)
}

// Status gives a voter's view.
func (p *Peer) Status(ctx context.Context) (Status, error) {
	return callJSON[struct{}, Status](ctx, p, "Look", struct{}{})
}

// Close ends it.
func (p *Peer) Close() error { return p.conn.Close() }

// ErrNoLeader says that no voter that leads could be found.
var ErrNoLeader = errors.New("no voter leads, as far as can be seen from here")

// SubmitToLeader gives a command to whoever leads, for operators: it asks each voter and follows what they say. A command whose fate is
// not known is not given again: its token may fit no more, but its giver has to look first.
func SubmitToLeader(ctx context.Context, peers map[string]*Peer, first string, c lease.Command) (CommandResult, error) {
	names := []string{}
	if first != "" {
		names = append(names, first)
	}
	for n := range peers {
		if n != first {
			names = append(names, n)
		}
	}
	last := ErrNoLeader
	for i := 0; i < len(names) && i < 3*len(peers); i++ {
		p := peers[names[i]]
		if p == nil {
			continue
		}
		d, err := p.SubmitCommand(ctx, c)
		switch {
		case err != nil:
			last = err
		case d.OK || d.OutcomeKnown:
			return d, nil
		case d.LeaderName != "" && d.LeaderName != names[i]:
			names = append(names[:i+1], append([]string{d.LeaderName}, names[i+1:]...)...)
		case d.Reason != "" && d.LeaderName == names[i]:
			return d, nil // given to the leader, and nobody knows
		}
	}
	return CommandResult{}, last
}
