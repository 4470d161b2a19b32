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

// Answer is a voter's to an instance's question. Leader: the name of who is to be asked instead.
type Answer struct {
	replica.Answer
	Leader string `json:"leader_name,omitempty"`
}

// Done tells what became of a command. Known false: it may or may not have been agreed on.
type Done struct {
	OK     bool       `json:"ok"`
	Known  bool       `json:"known"`
	Why    string     `json:"why,omitempty"`
	Duty   lease.Duty `json:"duty"`
	Leader string     `json:"leader_name,omitempty"`
}

// Voter is one in a view.
type Voter struct {
	Name    string  `json:"name"`
	ID      uint64  `json:"id"`
	Learner bool    `json:"learner,omitempty"`
	Leaving bool    `json:"leaving,omitempty"` // its vote counts until the change that is under way is over
	Match   uint64  `json:"match,omitempty"`   // up to which it has the log, as the leader knows
	Heard   float64 `json:"heard_ms"`          // since it was last heard of; below 0: never, or itself
}

// Lease is a duty's, in a view of the leader's.
type Lease struct {
	lease.Duty
	Left float64 `json:"lease_left_ms"` // by the leader's clock; 0 where it knows of none
}

// View is what a voter shows operators. Confirmed: a quorum has confirmed since the question came that it leads; else it is
// what this voter last knew.
type View struct {
	Name      string             `json:"name"`
	ID        uint64             `json:"id"`
	Group     uint64             `json:"group"`
	Leader    string             `json:"leader,omitempty"`
	Leading   bool               `json:"leading"`
	Confirmed bool               `json:"confirmed"`
	Term      uint64             `json:"term"`
	Applied   uint64             `json:"applied"`
	Next      uint64             `json:"next_token"`
	Voters    []Voter            `json:"voters"`
	Duties    []Lease            `json:"duties"`
	History   []lease.Event      `json:"history,omitempty"`
	Instances map[string]float64 `json:"instances,omitempty"` // ms since each last asked, as the leader knows
	Disk      string             `json:"disk,omitempty"`      // what is wrong with it
	Syncs     int64              `json:"syncs"`
	Sent      int64              `json:"sent"`
}

// Handlers take what comes. They may be called side by side, and answer within the context's time.
type Handlers struct {
	Raft  func(group uint64, m raftpb.Message)
	Hello func(ctx context.Context, h membership.Hello) (membership.Hello, error)
	Ask   func(ctx context.Context, q replica.Question) (Answer, error)
	Do    func(ctx context.Context, c lease.Command) (Done, error)
	Look  func(ctx context.Context) (View, error)
}

const (
	service   = "kestrelspread.Owner"
	mostBytes = 8 << 20
	mostCalls = 256 // open at once from one connection
)

// unary makes a method of a function from bytes to bytes.
func unary(name string, do func(ctx context.Context, b []byte) ([]byte, error)) grpc.MethodDesc {
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

// asJSON makes a function of values one of bytes.
func asJSON[Q, A any](do func(ctx context.Context, q Q) (A, error)) func(context.Context, []byte) ([]byte, error) {
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
	s := grpc.NewServer(grpc.MaxRecvMsgSize(mostBytes), grpc.MaxConcurrentStreams(mostCalls),
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
	s.RegisterService(&grpc.ServiceDesc{ServiceName: service, HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{unary("Raft", raft),
		unary("Hello", asJSON(h.Hello)), unary("Ask", asJSON(h.Ask)), unary("Do", asJSON(h.Do)),
		unary("Look", asJSON(func(ctx context.Context, _ struct{}) (View, error) { return h.Look(ctx) }))}}, struct{}{})
	go s.Serve(l)
	return s.Stop
}

// Peer is a voter as seen from here.
type Peer struct{ conn *grpc.ClientConn }

// Dial makes one; it connects when it is first asked, and again whenever that breaks, a second apart at most: a voter that is
// back must not wait for minutes.
func Dial(addr string) (*Peer, error) {
	c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostBytes)),
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
	err := p.conn.Invoke(ctx, "/"+service+"/"+method, wrapperspb.Bytes(b), out)
	return out.Value, err
}

func ask[Q, A any](ctx context.Context, p *Peer, method string, q Q) (a A, err error) {
	b, err := json.Marshal(q)
	if err != nil {
		return a, err
	}
	if b, err = p.call(ctx, method, b); err != nil {
		return a, err
	}
	return a, json.Unmarshal(b, &a)
}

// Raft brings messages of a group, each as Pack wrote it, together.
func (p *Peer) Raft(ctx context.Context, group uint64, packed [][]byte) error {
	b := binary.BigEndian.AppendUint64(nil, group)
	for _, one := range packed {
		b = append(b, one...)
	}
	_, err := p.call(ctx, "Raft", b)
	return err
}

// Pack writes a message, with its length before it.
func Pack(m *raftpb.Message) ([]byte, error) {
	text, err := m.Marshal()
	return append(binary.AppendUvarint(make([]byte, 0, len(text)+4), uint64(len(text))), text...), err
}

// Hello tells a voter of another, and gives what it says of itself.
func (p *Peer) Hello(ctx context.Context, h membership.Hello) (membership.Hello, error) {
	return ask[membership.Hello, membership.Hello](ctx, p, "Hello", h)
}

// Ask asks for duties.
func (p *Peer) Ask(ctx context.Context, q replica.Question) (Answer, error) {
	return ask[replica.Question, Answer](ctx, p, "Ask", q)
}

// Do gives a command.
func (p *Peer) Do(ctx context.Context, c lease.Command) (Done, error) {
	return ask[lease.Command, Done](ctx, p, "Do", c)
}

// Look gives a voter's view.
func (p *Peer) Look(ctx context.Context) (View, error) {
	return ask[struct{}, View](ctx, p, "Look", struct{}{})
}

// Close ends it.
func (p *Peer) Close() error { return p.conn.Close() }

// ErrNobody says that no voter that leads could be found.
var ErrNobody = errors.New("no voter leads, as far as can be seen from here")

// Lead gives a command to whoever leads, for operators: it asks each voter and follows what they say. A command whose fate is
// not known is not given again: its token may fit no more, but its giver has to look first.
func Lead(ctx context.Context, peers map[string]*Peer, first string, c lease.Command) (Done, error) {
	names := []string{}
	if first != "" {
		names = append(names, first)
	}
	for n := range peers {
		if n != first {
			names = append(names, n)
		}
	}
	last := ErrNobody
	for i := 0; i < len(names) && i < 3*len(peers); i++ {
		p := peers[names[i]]
		if p == nil {
			continue
		}
		d, err := p.Do(ctx, c)
		switch {
		case err != nil:
			last = err
		case d.OK || d.Known:
			return d, nil
		case d.Leader != "" && d.Leader != names[i]:
			names = append(names[:i+1], append([]string{d.Leader}, names[i+1:]...)...)
		case d.Why != "" && d.Leader == names[i]:
			return d, nil // given to the leader, and nobody knows
		}
	}
	return Done{}, last
}
