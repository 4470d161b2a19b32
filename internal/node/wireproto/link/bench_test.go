package link_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto/link"
)

// BenchmarkRoundTrip measures a probe and its answer over two connections.
func BenchmarkRoundTrip(b *testing.B) {
	var server *link.Network
	ready := make(chan struct{})
	server, err := link.New(link.Options{ListenAddress: "127.0.0.1:0", SelfID: "b/1", Receive: func(from core.Peer, _ *nodepb.Envelope) {
		<-ready
		server.Send(from.Address, probe(2))
	}})
	assert.NilError(b, err)
	close(ready)
	defer server.Close()
	answered := make(chan struct{}, 1)
	client, err := link.New(link.Options{ListenAddress: "127.0.0.1:0", SelfID: "a/1", Receive: func(core.Peer, *nodepb.Envelope) {
		answered <- struct{}{}
	}})
	assert.NilError(b, err)
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		client.Send(server.Address(), probe(1))
		<-answered
	}
}

// BenchmarkStream measures messages that are sent one after the other.
func BenchmarkStream(b *testing.B) {
	arrived := make(chan struct{}, 1<<16)
	server, err := link.New(link.Options{ListenAddress: "127.0.0.1:0", SelfID: "b/1", Receive: func(core.Peer, *nodepb.Envelope) {
		arrived <- struct{}{}
	}})
	assert.NilError(b, err)
	defer server.Close()
	client, err := link.New(link.Options{ListenAddress: "127.0.0.1:0", SelfID: "a/1", Receive: func(core.Peer, *nodepb.Envelope) {}})
	assert.NilError(b, err)
	defer client.Close()
	b.ReportAllocs()
	const window = 256
	sent, received := 0, 0
	for b.Loop() {
		client.Send(server.Address(), probe(1))
		sent++
		for sent-received >= window {
			<-arrived
			received++
		}
	}
}
