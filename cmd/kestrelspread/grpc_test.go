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

// grpcServer is a server of grpc-go; the test gives its handler.
type grpcServer struct {
	*grpc.Server
	address string
	calls   atomic.Int64
	handler atomic.Pointer[func(stream grpc.ServerStream) error]
}

func startGRPCServer(t *testing.T, address string) *grpcServer {
	t.Helper()
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
"routes":[{"name":"all","match":{"prefix":"/"},"query-type":"quick","timeout-ms":2000,"timeout-most-ms":8000,"message-kb":256},
{"name":"once","match":{"service":"t.Once"},"query-type":"once","timeout-ms":2000}]}}`

// grpcFixture is the program with servers of grpc-go behind it, and a client's connection to it.
type grpcFixture struct {
	*process
	conn         *grpc.ClientConn
	servers      []*grpcServer
	operatorFile string
}

func startWithGRPC(t *testing.T) *grpcFixture {
	t.Helper()
	f := &grpcFixture{operatorFile: filepath.Join(t.TempDir(), "operator.json")}
	discovery := startDiscovery(t, "127.0.0.1:0")
	var frameServers []*fakeServer
	var addresses []string // as members of a JSON object
	for i := range 2 {
		frameServers = append(frameServers, startServer(t))
		f.servers = append(f.servers, startGRPCServer(t, "127.0.0.1:0"))
		addresses = append(addresses, fmt.Sprintf(`"s%d":%q`, i, f.servers[i].address))
	}
	f.writeOperatorFile(t, fmt.Sprintf(operatorText, strings.Join(addresses, ",")))
	known := membershipUpdate(1, true, "ready", frameServers...)
	f.process = startProgram(t, "127.0.0.1:0", discovery.address, known, 256, "--operator", f.operatorFile)
	conn, err := grpc.NewClient(f.grpcAddress(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), grpc.WithDefaultCallOptions(grpc.ForceCodec(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	f.conn = conn
	return f
}

func (f *grpcFixture) writeOperatorFile(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(f.operatorFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// grpcAddress is where the program's log says that it serves gRPC.
func (f *grpcFixture) grpcAddress() (address string) {
	f.waitUntil("it serves gRPC", func() bool {
		_, rest, found := strings.Cut(f.log.String(), `"listen":"`)
		for ; found; _, rest, found = strings.Cut(rest, `"listen":"`) {
			end := strings.IndexByte(rest, '\n')
			if line := rest[:max(end, 0)]; strings.Contains(line, "serving gRPC") {
				address = line[:strings.IndexByte(line, '"')]
				return true
			}
		}
		return false
	})
	return address
}

func (f *grpcFixture) setHandlers(handler func(stream grpc.ServerStream) error) {
	for _, server := range f.servers {
		server.setHandler(handler)
	}
}

func (f *grpcFixture) calls() int64 { return f.servers[0].calls.Load() + f.servers[1].calls.Load() }

func (f *grpcFixture) invoke(ctx context.Context, method, message string, options ...grpc.CallOption) (string, error) {
	in, out := []byte(message), []byte(nil)
	err := f.conn.Invoke(ctx, method, &in, &out, options...)
	return string(out), err
}

func (f *grpcFixture) openStream(ctx context.Context) grpc.ClientStream {
	f.t.Helper()
	stream, err := f.conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/t.S/Talk")
	if err != nil {
		f.t.Fatal(err)
	}
	return stream
}

func TestGRPCCallsPassThrough(t *testing.T) {
	f := startWithGRPC(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-word", "a", "x-word", "b")
	f.expectMetadataPasses(ctx)
	got, err := f.invoke(ctx, "/t.S/Get", strings.Repeat("z", 100<<10), grpc.UseCompressor(gzip.Name))
	if err != nil || len(got) != 100<<10 {
		t.Error("compressed:", len(got), err)
	}
	f.expectStreamPasses(ctx)
	f.expectStatusPasses(ctx)
	f.expectFailedCallIsRetried(ctx)
	f.expectCancellationPasses(ctx)
	f.cmd.Process.Signal(syscall.SIGUSR1)
	f.waitUntil("its counters", func() bool { return strings.Contains(f.log.String(), "grpc calls") })
}

func (f *grpcFixture) expectMetadataPasses(ctx context.Context) {
	f.t.Helper()
	var header, trailer metadata.MD
	got, err := f.invoke(ctx, "/t.S/Get", "hello", grpc.Header(&header), grpc.Trailer(&trailer))
	if err != nil || got != "hello" {
		f.t.Fatal(got, err)
	}
	if header.Get("x-head")[0] != "a|b" || header.Get("h-bin")[0] != "\x00\x01\xff" ||
		trailer.Get("x-tail")[0] != "end" || trailer.Get("t-bin")[0] != "\xfe\x00" {
		f.t.Error("metadata did not pass:", header, trailer)
	}
}

// expectStreamPasses sends both ways at once, more than every window holds.
func (f *grpcFixture) expectStreamPasses(ctx context.Context) {
	f.t.Helper()
	stream := f.openStream(ctx)
	go func() {
		for i := range 200 {
			message := []byte(strings.Repeat(strconv.Itoa(i%10), 10<<10))
			if stream.SendMsg(&message) != nil {
				return
			}
		}
		stream.CloseSend()
	}()
	for i := range 200 {
		var message []byte
		if err := stream.RecvMsg(&message); err != nil || len(message) != 10<<10 || message[0] != byte('0'+i%10) {
			f.t.Fatal(i, len(message), err)
		}
	}
	var message []byte
	if err := stream.RecvMsg(&message); err != io.EOF {
		f.t.Error(err)
	}
}

// expectStatusPasses: an application's own status and its text, which isn't ASCII alone.
func (f *grpcFixture) expectStatusPasses(ctx context.Context) {
	f.t.Helper()
	f.setHandlers(func(grpc.ServerStream) error { return status.Error(codes.NotFound, "not here: é%") })
	_, err := f.invoke(ctx, "/t.S/Get", "")
	if status.Code(err) != codes.NotFound || status.Convert(err).Message() != "not here: é%" {
		f.t.Error(err)
	}
}

func (f *grpcFixture) expectFailedCallIsRetried(ctx context.Context) {
	f.t.Helper()
	before := f.calls()
	var once sync.Once
	f.setHandlers(func(stream grpc.ServerStream) error {
		failed := false
		once.Do(func() { failed = true })
		if failed {
			return status.Error(codes.Unavailable, "once")
		}
		return echoAll(stream)
	})
	if got, err := f.invoke(ctx, "/t.S/Get", "again"); err != nil || got != "again" {
		f.t.Error(got, err)
	}
	if n := f.calls() - before; n != 2 {
		f.t.Error(n, "sub-requests, want the failed one and one more")
	}
}

// expectCancellationPasses: a server learns that the client's time is up, and that the client has gone.
func (f *grpcFixture) expectCancellationPasses(ctx context.Context) {
	f.t.Helper()
	ended := make(chan struct{}, 8)
	f.setHandlers(func(stream grpc.ServerStream) error {
		<-stream.Context().Done()
		ended <- struct{}{}
		return stream.Context().Err()
	})
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	if _, err := f.invoke(short, "/t.Once/Put", ""); status.Code(err) != codes.DeadlineExceeded {
		f.t.Error(err)
	}
	leaving, leave := context.WithCancel(ctx)
	time.AfterFunc(100*time.Millisecond, leave)
	if _, err := f.invoke(leaving, "/t.Once/Put", ""); status.Code(err) != codes.Canceled {
		f.t.Error(err)
	}
	for range 2 {
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			f.t.Fatal("a server was not notified that the call is over")
		}
	}
}

func TestGRPCReloadAndStop(t *testing.T) {
	f := startWithGRPC(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := f.invoke(ctx, "/t.S/Get", "x"); err != nil {
		t.Fatal(err)
	}
	stream := f.openStream(ctx)
	if err := echoOnce(stream); err != nil {
		t.Fatal(err)
	}
	f.expectReload(ctx)
	if err := echoOnce(stream); err != nil {
		t.Error("the open stream:", err)
	}
	f.expectStopDrainsCall(ctx)
	message := []byte(nil)
	if err := stream.RecvMsg(&message); status.Code(err) != codes.Unavailable {
		t.Error("the stream's last status:", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- f.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it goes on after SIGTERM")
	}
}

func echoOnce(stream grpc.ClientStream) error {
	message := []byte("m")
	if err := stream.SendMsg(&message); err != nil {
		return err
	}
	return stream.RecvMsg(&message)
}

// expectReload: a faulty file changes nothing; a sound one removes the route of calls to /t.S.
func (f *grpcFixture) expectReload(ctx context.Context) {
	f.t.Helper()
	text, err := os.ReadFile(f.operatorFile)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writeOperatorFile(f.t, strings.Replace(string(text), `"query-type":"quick"`, `"query-type":"quick","extra":1`, 1))
	f.cmd.Process.Signal(syscall.SIGHUP)
	f.waitUntil("it refuses the file", func() bool {
		return strings.Contains(f.log.String(), "/grpc/routes/0/extra: no such setting")
	})
	if _, err := f.invoke(ctx, "/t.S/Get", "x"); err != nil {
		f.t.Error("after a broken file:", err)
	}
	f.writeOperatorFile(f.t, strings.Replace(string(text), `"prefix":"/"`, `"prefix":"/other"`, 1))
	f.cmd.Process.Signal(syscall.SIGHUP)
	f.waitUntil("it takes the file", func() bool {
		_, err := f.invoke(ctx, "/t.S/Get", "x")
		return status.Code(err) == codes.Unimplemented
	})
}

// expectStopDrainsCall stops the program while a call is open, which still gets its answer.
func (f *grpcFixture) expectStopDrainsCall(ctx context.Context) {
	f.t.Helper()
	f.setHandlers(func(stream grpc.ServerStream) error {
		time.Sleep(700 * time.Millisecond)
		return echoAll(stream)
	})
	done := make(chan error, 1)
	go func() {
		_, err := f.invoke(ctx, "/t.Once/Put", "x")
		done <- err
	}()
	f.waitUntil("it has been sent", func() bool { return f.calls() >= 4 })
	f.cmd.Process.Signal(syscall.SIGTERM)
	if err := <-done; err != nil {
		f.t.Error("a call that was open at SIGTERM:", err)
	}
}

func TestCheckReportsOperatorFile(t *testing.T) {
	dir := t.TempDir()
	configPath, file := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	os.WriteFile(configPath, fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{},"settings":%s}`, settingsText), 0o600)
	runCheck := func(text string) (string, int) {
		os.WriteFile(file, []byte(text), 0o600)
		cmd := exec.Command(programPath, "check", "--operator", file)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
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
	if out, code := runCheck(string(example)); code != 0 || !strings.Contains(out, "3 routes") {
		t.Error(code, out)
	}
	if out, code := runCheck(`{"grpc":{"listen":"here","servers":{"port-offset":1},"routes":[]}}`); code != 1 ||
		!strings.Contains(out, "/grpc/listen: ") || !strings.Contains(out, "/grpc/routes: ") {
		t.Error(code, out)
	}
}
