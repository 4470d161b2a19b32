package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
)

// onePort sends every request to one broker.
type onePort struct {
	scriptedRouter
	instance *registry.Instance
}

func (p *onePort) Begin(core.Time, routing.Request) (routing.RequestID, routing.Decision) {
	return 1, routing.Decision{Attempt: &routing.Attempt{Instance: p.instance, HedgeAt: core.Never, Priority: 5}}
}
func (p *onePort) AnswerStarted(core.Time, routing.RequestID, int, *routing.Load) {}
func (p *onePort) AttemptEnded(core.Time, routing.RequestID, int, routing.Outcome, bool) routing.Decision {
	return routing.Decision{}
}
func (p *onePort) End(core.Time, routing.RequestID) {}

// BenchmarkRequest measures one request through the proxy, with the client and the broker in the same process: the figure
// holds their cost too. Its use is to compare versions.
func BenchmarkRequest(b *testing.B) {
	for _, bench := range []struct{ name, path, answer string }{
		{"unsafe", "/unsafe/a", "HTTP/1.1 200 OK\r\n" + headerRequestID + ": r1\r\n" + headerSeal + ": s\r\n" +
			"Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"},
		{"stream of 20 events", "/stream/a", "HTTP/1.1 200 OK\r\n" + headerRequestID + ": r1\r\n" + headerSeal + ": s\r\n" +
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
	} {
		b.Run(bench.name, func(b *testing.B) { benchmarkRequest(b, bench.path, bench.answer) })
	}
}

func benchmarkRequest(b *testing.B, path, answer string) {
	address := benchmarkBroker(b, answer, path == "/stream/a")
	settings := defaultConfig()
	start := time.Now()
	proxy := New(Options{
		Router:        &onePort{instance: &registry.Instance{ID: "i-1", Address: address}},
		Clock:         func() core.Time { return time.Since(start) },
		Configuration: func() *config.Compiled { return settings.compiled },
		MayServe:      func(core.Time, bool) bool { return true },
	})
	proxy.match = settings.match
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go proxy.Serve(listener)
	defer proxy.server.Close()
	socket, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	reader := bufio.NewReader(socket)
	request := []byte(post(path, "r1", "body", headerDeadline+": 4000", headerModel+": daka", headerTokenCount+": 100,20",
		headerPromptPrefix+": 5c1e07a2:800,91bd3f06:410,e4402b7d:250"))
	asked := &http.Request{Method: "POST"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := socket.Write(request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, asked)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// benchmarkBroker answers every request with the same bytes.
func benchmarkBroker(b *testing.B, answer string, stream bool) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	event := []byte("1b\r\nid: 1\ndata: token of text\n\n\r\n")
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		reader := bufio.NewReader(socket)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(socket, answer)
			if !stream {
				continue
			}
			for range 20 {
				socket.Write(event)
			}
			io.WriteString(socket, "0\r\n\r\n")
		}
	}()
	return listener.Addr().String()
}
