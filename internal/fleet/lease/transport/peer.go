package transport

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
)

// Peer is a connection to a voter. Its methods may be called concurrently.
type Peer struct{ conn *grpc.ClientConn }

const (
	minConnectTimeout = 500 * time.Millisecond
	pingAfter         = 10 * time.Second
	pingTimeout       = 2 * time.Second
)

// reconnectBackoff ends at a second: a voter that is back must not wait for minutes.
var reconnectBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.3,
	MaxDelay:   time.Second,
}

// Dial returns a peer that connects at its first call, and again whenever the connection breaks.
func Dial(addr string) (*Peer, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout, Backoff: reconnectBackoff}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}))
	if err != nil {
		return nil, fmt.Errorf("transport: dial voter %s: %w", addr, err)
	}
	return &Peer{conn}, nil
}

// Close closes the connection.
func (p *Peer) Close() error { return p.conn.Close() }

// SendRaft sends messages of a group, each as EncodeMessage wrote it, in one call.
func (p *Peer) SendRaft(ctx context.Context, groupID uint64, encoded [][]byte) error {
	message := binary.BigEndian.AppendUint64(nil, groupID)
	for _, one := range encoded {
		message = append(message, one...)
	}
	_, err := p.call(ctx, raftMethod, message)
	return err
}

// EncodeMessage writes a raft message with its length before it.
func EncodeMessage(m *raftpb.Message) ([]byte, error) {
	payload, err := m.Marshal()
	if err != nil {
		return nil, err
	}
	encoded := make([]byte, 0, len(payload)+binary.MaxVarintLen32)
	encoded = binary.AppendUvarint(encoded, uint64(len(payload)))
	return append(encoded, payload...), nil
}

// Hello tells a voter of another, and returns the voter's own hello.
func (p *Peer) Hello(ctx context.Context, hello membership.Hello) (membership.Hello, error) {
	return callJSON[membership.Hello](ctx, p, helloMethod, hello)
}

// RequestLeases sends an instance's lease request.
func (p *Peer) RequestLeases(ctx context.Context, request replica.Request) (Response, error) {
	return callJSON[Response](ctx, p, requestMethod, request)
}

// SubmitCommand submits a command. Only the leader accepts it.
func (p *Peer) SubmitCommand(ctx context.Context, c lease.Command) (CommandResult, error) {
	return callJSON[CommandResult](ctx, p, submitMethod, c)
}

// Status returns the voter's view of the group.
func (p *Peer) Status(ctx context.Context) (Status, error) {
	return callJSON[Status](ctx, p, statusMethod, struct{}{})
}

func (p *Peer) call(ctx context.Context, method string, message []byte) ([]byte, error) {
	reply := &wrapperspb.BytesValue{}
	err := p.conn.Invoke(ctx, "/"+serviceName+"/"+method, wrapperspb.Bytes(message), reply)
	return reply.Value, err
}

// callJSON calls a method whose messages are JSON.
func callJSON[Reply, Request any](ctx context.Context, p *Peer, method string, request Request) (reply Reply, err error) {
	message, err := json.Marshal(request)
	if err != nil {
		return reply, err
	}
	encoded, err := p.call(ctx, method, message)
	if err != nil {
		return reply, err
	}
	err = json.Unmarshal(encoded, &reply)
	return reply, err
}

// ErrNoLeader says that no voter that leads could be found.
var ErrNoLeader = errors.New("no voter leads, as far as can be seen from here")

// SubmitToLeader submits a command to whichever of the peers leads: it asks them in turn, first
// the one named, and follows what they say of the leader. A command whose outcome is not known is
// not submitted again: it may have changed the token that it names, so its submitter has to look
// at the status first.
func SubmitToLeader(ctx context.Context, peers map[string]*Peer, first string, c lease.Command) (CommandResult, error) {
	candidates := candidateOrder(peers, first)
	lastErr := ErrNoLeader
	for i := 0; i < len(candidates) && i < 3*len(peers); i++ {
		name := candidates[i]
		peer := peers[name]
		if peer == nil {
			continue
		}
		result, err := peer.SubmitCommand(ctx, c)
		switch {
		case err != nil:
			lastErr = err
		case result.OK || result.OutcomeKnown:
			return result, nil
		case result.LeaderName != "" && result.LeaderName != name: // ask the leader next
			rest := append([]string{result.LeaderName}, candidates[i+1:]...)
			candidates = append(candidates[:i+1], rest...)
		case result.Reason != "" && result.LeaderName == name: // the leader doesn't know the outcome
			return result, nil
		}
	}
	return CommandResult{}, lastErr
}

// candidateOrder lists the peers' names, the first one first.
func candidateOrder(peers map[string]*Peer, first string) []string {
	var names []string
	if first != "" {
		names = append(names, first)
	}
	for name := range peers {
		if name != first {
			names = append(names, name)
		}
	}
	return names
}
