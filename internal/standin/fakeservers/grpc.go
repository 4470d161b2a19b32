package fakeservers

import (
	"io"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/metadata"
)

// RawCodec passes messages of gRPC as bytes: *[]byte.
type RawCodec struct{}

var _ encoding.Codec = RawCodec{}

// Marshal implements encoding.Codec: v is a *[]byte, whose bytes are sent unchanged.
func (RawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }

// Unmarshal implements encoding.Codec: v is a *[]byte, which receives a copy.
func (RawCodec) Unmarshal(b []byte, v any) error {
	*v.(*[]byte) = append((*v.(*[]byte))[:0], b...)
	return nil
}

// Name implements encoding.Codec. Peers take the bytes for protocol buffers.
func (RawCodec) Name() string { return "proto" }

// GRPCServer is a server of gRPC that echoes every message, of unary calls and of streams.
type GRPCServer struct {
	Behaviour
	net.Listener
	Server *grpc.Server
}

// StartGRPCServer starts a server on loopback.
func StartGRPCServer(medianMs, sigma float64) (*GRPCServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &GRPCServer{Listener: listener}
	g.MedianMs, g.Sigma = medianMs, sigma
	g.Server = grpc.NewServer(grpc.ForceServerCodec(RawCodec{}), grpc.MaxConcurrentStreams(1<<20), grpc.UnknownServiceHandler(g.echo))
	go g.Server.Serve(listener)
	return g, nil
}

// echo serves one call, of any method.
func (g *GRPCServer) echo(_ any, stream grpc.ServerStream) error {
	var done func(status string)
	if g.OnRequest != nil {
		fields, ok := metadata.FromIncomingContext(stream.Context())
		if ok && len(fields.Get("x-id")) > 0 {
			done = g.OnRequest(fields.Get("x-id")[0])
		}
	}
	if !g.wait(stream.Context()) {
		return stream.Context().Err()
	}
	for {
		var message []byte
		if err := stream.RecvMsg(&message); err == io.EOF {
			if done != nil {
				done("OK")
			}
			return nil
		} else if err != nil {
			return err
		}
		if err := stream.SendMsg(&message); err != nil {
			return err
		}
	}
}
