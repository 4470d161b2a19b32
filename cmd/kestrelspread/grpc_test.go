package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// rawCodec passes bytes, as these tests know no messages.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(b []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), b...)
	return nil
}
func (rawCodec) Name() string { return "proto" }

func init() { encoding.RegisterCodec(rawCodec{}) }

// grpcServer is a server of grpc-go: what it does with a call is what the test says.
type grpcServer struct {
	*grpc.Server
	address string
	calls   atomic.Int64
	handler atomic.Pointer[func(stream grpc.ServerStream) error]
}

func startGRPCServer(t *testing.T, address string) *grpcServer {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &grpcServer{address: listener.Addr().String()}
	server.setHandler(echoAll)
	server.Server = grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(func(_ any, s grpc.ServerStream) error {
		server.calls.Add(1)
		return (*server.handler.Load())(s)
	}))
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return server
}

func (r *grpcServer) setHandler(handler func(stream grpc.ServerStream) error) {
	r.handler.Store(&handler)
}

func echoAll(s grpc.ServerStream) error {
	in, _ := metadata.FromIncomingContext(s.Context())
	s.SetHeader(metadata.Pairs("x-head", strings.Join(in.Get("x-word"), "|"), "h-bin", string([]byte{0, 1, 255})))
	s.SetTrailer(metadata.Pairs("x-tail", "end", "t-bin", string([]byte{254, 0})))
	for {
		var b []byte
		if err := s.RecvMsg(&b); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if err := s.SendMsg(&b); err != nil {
			return err
		}
	}
}

const operatorText = `{"grpc":{"listen":"127.0.0.1:0","servers":{"by-id":{%s}},
"limits":{"idle-ms":2000},"channels":{"connect-ms":300},
"routes":[{"name":"all","match":{"prefix":"/"},"query-type":"quick","timeout-ms":2000,"timeout-most-ms":8000,"message-kb":256%s},
{"name":"once","match":{"service":"t.Once"},"query-type":"once","timeout-ms":2000}]}}`

// withGRPC starts the program with readers of grpc-go.
func withGRPC(t *testing.T, extra string) (b *process, conn *grpc.ClientConn, readers []*grpcServer, file string) {
	lister := startDiscovery(t, "127.0.0.1:0")
	var nodes []*fakeServer
	var ids []string
	for i := range 2 {
		nodes = append(nodes, startServer(t))
		readers = append(readers, startGRPCServer(t, "127.0.0.1:0"))
		ids = append(ids, fmt.Sprintf(`"s%d":%q`, i, readers[i].address))
	}
	file = filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(file, fmt.Appendf(nil, operatorText, strings.Join(ids, ","), extra), 0o600); err != nil {
		t.Fatal(err)
	}
	b = startProgram(t, "127.0.0.1:0", lister.address, membershipUpdate(1, true, "ready", nodes...), 256, "--operator", file)
	at := ""
	b.waitUntil("it serves gRPC", func() bool {
		_, rest, found := strings.Cut(b.log.String(), `"listen":"`)
		for ; found; _, rest, found = strings.Cut(rest, `"listen":"`) {
			end := strings.IndexByte(rest, '\n')
			if line := rest[:max(end, 0)]; strings.Contains(line, "serving gRPC") {
				at = line[:strings.IndexByte(line, '"')]
				return true
			}
		}
		return false
	})
	conn, err := grpc.NewClient(at, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return b, conn, readers, file
}

func invoke(conn *grpc.ClientConn, ctx context.Context, method, body string, o ...grpc.CallOption) (string, error) {
	in, out := []byte(body), []byte(nil)
	err := conn.Invoke(ctx, method, &in, &out, o...)
	return string(out), err
}

func TestGRPCCallsPassThrough(t *testing.T) {
	p, conn, readers, _ := withGRPC(t, "")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-word", "a", "x-word", "b")
	var head, tail metadata.MD
	got, err := invoke(conn, ctx, "/t.S/Get", "hello", grpc.Header(&head), grpc.Trailer(&tail))
	if err != nil || got != "hello" {
		t.Fatal(got, err)
	}
	if head.Get("x-head")[0] != "a|b" || head.Get("h-bin")[0] != "\x00\x01\xff" || tail.Get("x-tail")[0] != "end" ||
		tail.Get("t-bin")[0] != "\xfe\x00" {
		t.Error("metadata did not pass:", head, tail)
	}
	if got, err = invoke(conn, ctx, "/t.S/Get", strings.Repeat("z", 100<<10), grpc.UseCompressor(gzip.Name)); err != nil || len(got) != 100<<10 {
		t.Error("compressed:", len(got), err)
	}
	// Streams both ways, larger than every window.
	s, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/t.S/Talk")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for i := range 200 {
			m := []byte(strings.Repeat(strconv.Itoa(i%10), 10<<10))
			if s.SendMsg(&m) != nil {
				return
			}
		}
		s.CloseSend()
	}()
	for i := range 200 {
		var m []byte
		if err := s.RecvMsg(&m); err != nil || len(m) != 10<<10 || m[0] != byte('0'+i%10) {
			t.Fatal(i, len(m), err)
		}
	}
	var m []byte
	if err := s.RecvMsg(&m); err != io.EOF {
		t.Error(err)
	}
	// What an application says, with its details; a reader that dies.
	for _, r := range readers {
		r.setHandler(func(grpc.ServerStream) error { return status.Error(codes.NotFound, "not here: é%") })
	}
	if _, err = invoke(conn, ctx, "/t.S/Get", ""); status.Code(err) != codes.NotFound || status.Convert(err).Message() != "not here: é%" {
		t.Error(err)
	}
	before := readers[0].calls.Load() + readers[1].calls.Load()
	var once sync.Once
	for _, r := range readers {
		r.setHandler(func(s grpc.ServerStream) error {
			failed := false
			once.Do(func() { failed = true })
			if failed {
				return status.Error(codes.Unavailable, "once")
			}
			return echoAll(s)
		})
	}
	if got, err = invoke(conn, ctx, "/t.S/Get", "again"); err != nil || got != "again" {
		t.Error(got, err)
	}
	if n := readers[0].calls.Load() + readers[1].calls.Load() - before; n != 2 {
		t.Error(n, "sub-requests, want the failed one and one more")
	}
	// The client's time, and its leave.
	called := make(chan struct{}, 8)
	for _, r := range readers {
		r.setHandler(func(s grpc.ServerStream) error {
			<-s.Context().Done()
			called <- struct{}{}
			return s.Context().Err()
		})
	}
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	if _, err = invoke(conn, short, "/t.Once/Put", ""); status.Code(err) != codes.DeadlineExceeded {
		t.Error(err)
	}
	leaving, leave := context.WithCancel(ctx)
	time.AfterFunc(100*time.Millisecond, leave)
	if _, err = invoke(conn, leaving, "/t.Once/Put", ""); status.Code(err) != codes.Canceled {
		t.Error(err)
	}
	for range 2 {
		select {
		case <-called:
		case <-time.After(10 * time.Second):
			t.Fatal("a reader was not told that the call is over")
		}
	}
	p.cmd.Process.Signal(syscall.SIGUSR1)
	p.waitUntil("its counters", func() bool { return strings.Contains(p.log.String(), "grpc calls") })
}

func TestGRPCReloadAndStop(t *testing.T) {
	p, conn, readers, file := withGRPC(t, "")
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := invoke(conn, ctx, "/t.S/Get", "x"); err != nil {
		t.Fatal(err)
	}
	s, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/t.S/Talk")
	if err != nil {
		t.Fatal(err)
	}
	say := func() error {
		m := []byte("m")
		if err := s.SendMsg(&m); err != nil {
			return err
		}
		return s.RecvMsg(&m)
	}
	if err := say(); err != nil {
		t.Fatal(err)
	}
	// A broken file changes nothing; a sound one removes the route of the stream that is open.
	text, _ := os.ReadFile(file)
	os.WriteFile(file, []byte(strings.Replace(string(text), `"query-type":"quick"`, `"query-type":"quick","extra":1`, 1)), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitUntil("it refuses the file", func() bool { return strings.Contains(p.log.String(), "/grpc/routes/0/extra: no such setting") })
	if _, err := invoke(conn, ctx, "/t.S/Get", "x"); err != nil {
		t.Error("after a broken file:", err)
	}
	os.WriteFile(file, []byte(strings.Replace(string(text), `"prefix":"/"`, `"prefix":"/other"`, 1)), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitUntil("it takes the file", func() bool {
		_, err := invoke(conn, ctx, "/t.S/Get", "x")
		return status.Code(err) == codes.Unimplemented
	})
	if err := say(); err != nil {
		t.Error("the open stream:", err)
	}
	for _, r := range readers {
		r.setHandler(func(s grpc.ServerStream) error { time.Sleep(700 * time.Millisecond); return echoAll(s) })
	}
	done := make(chan error, 1)
	go func() {
		_, err := invoke(conn, ctx, "/t.Once/Put", "x")
		done <- err
	}()
	p.waitUntil("it has been sent", func() bool { return readers[0].calls.Load()+readers[1].calls.Load() >= 4 })
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Error("a call that was open at SIGTERM:", err)
	}
	m := []byte(nil)
	if err := s.RecvMsg(&m); status.Code(err) != codes.Unavailable {
		t.Error("the stream's last status:", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it goes on after SIGTERM")
	}
}

func TestCheckReportsOperatorFile(t *testing.T) {
	dir := t.TempDir()
	conf, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	os.WriteFile(conf, fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{},"settings":%s}`, settingsText), 0o600)
	check := func(text string) (string, int) {
		os.WriteFile(file, []byte(text), 0o600)
		cmd := exec.Command(programPath, "check", "--operator", file)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+conf)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return string(out), exit.ExitCode()
		}
		return string(out), 0
	}
	example, err := os.ReadFile("../../deploy/operator.example.json")
	if err != nil {
		t.Fatal(err)
	}
	if out, code := check(string(example)); code != 0 || !strings.Contains(out, "3 routes") {
		t.Error(code, out)
	}
	if out, code := check(`{"grpc":{"listen":"here","servers":{"port-offset":1},"routes":[]}}`); code != 1 ||
		!strings.Contains(out, "/grpc/listen: ") || !strings.Contains(out, "/grpc/routes: ") {
		t.Error(code, out)
	}
}
