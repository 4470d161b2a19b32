package transport

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
)

// Handlers handle calls. They may run concurrently, and return within the context's time.
type Handlers struct {
	Raft          func(groupID uint64, m raftpb.Message)
	Hello         func(ctx context.Context, hello membership.Hello) (membership.Hello, error)
	RequestLeases func(ctx context.Context, request replica.Request) (Response, error)
	SubmitCommand func(ctx context.Context, c lease.Command) (CommandResult, error)
	Status        func(ctx context.Context) (Status, error)
}

const (
	maxMessageBytes    = 8 << 20
	maxConcurrentCalls = 256 // from one connection

	minClientPing     = time.Second // clients may ping as often
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 5 * time.Second
)

// Serve answers calls on a listener until the returned function is called.
func Serve(l net.Listener, h Handlers) (stop func()) {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingAfter, Timeout: serverPingTimeout}))
	status := func(ctx context.Context, _ struct{}) (Status, error) { return h.Status(ctx) }
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod(raftMethod, raftHandler(h.Raft)),
			unaryMethod(helloMethod, jsonHandler(h.Hello)),
			unaryMethod(requestMethod, jsonHandler(h.RequestLeases)),
			unaryMethod(submitMethod, jsonHandler(h.SubmitCommand)),
			unaryMethod(statusMethod, jsonHandler(status)),
		},
	}, struct{}{})
	go server.Serve(l)
	return server.Stop
}

// bytesHandler handles a call whose message and reply are bytes.
type bytesHandler func(ctx context.Context, message []byte) ([]byte, error)

// unaryMethod describes a method whose messages are a BytesValue each.
func unaryMethod(name string, handle bytesHandler) grpc.MethodDesc {
	handler := func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		message := &wrapperspb.BytesValue{}
		if err := decode(message); err != nil {
			return nil, err
		}
		reply, err := handle(ctx, message.Value)
		if err != nil {
			return nil, err
		}
		return wrapperspb.Bytes(reply), nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// jsonHandler makes a handler of values one of their JSON.
func jsonHandler[Request, Reply any](handle func(context.Context, Request) (Reply, error)) bytesHandler {
	return func(ctx context.Context, message []byte) ([]byte, error) {
		var request Request
		if len(message) > 0 {
			if err := json.Unmarshal(message, &request); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
		}
		reply, err := handle(ctx, request)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		return json.Marshal(reply)
	}
}

// raftHandler decodes what Peer.SendRaft sends: the group's id, then messages as EncodeMessage
// writes them. Those before a corrupt one have been handled when it is found.
func raftHandler(handle func(groupID uint64, m raftpb.Message)) bytesHandler {
	return func(_ context.Context, message []byte) ([]byte, error) {
		if len(message) < groupIDBytes {
			return nil, status.Error(codes.InvalidArgument, "too short")
		}
		groupID := binary.BigEndian.Uint64(message)
		rest := message[groupIDBytes:]
		for len(rest) > 0 {
			length, prefix := binary.Uvarint(rest)
			if prefix <= 0 || length > uint64(len(rest)-prefix) {
				return nil, status.Error(codes.InvalidArgument, "cut short")
			}
			end := prefix + int(length)
			var m raftpb.Message
			if err := m.Unmarshal(rest[prefix:end]); err != nil {
				return nil, status.Error(codes.InvalidArgument, err.Error())
			}
			rest = rest[end:]
			handle(groupID, m)
		}
		return nil, nil
	}
}
