package controlapi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// served is a server on a socket of its own.
type served struct {
	address string
	cancel  context.CancelFunc
	ended   chan error
}

// listen opens a listener for such a server at "IP:port". TCP keep-alive is off: the server's own
// time-outs close connections to machines that are gone.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(ctx, "tcp4", address)
}

// serveUntilDone serves until ctx ends. Then it accepts no more connections, and requests in flight have
// closeTimeout to end. It returns the error of the listener or of the shutdown.
func serveUntilDone(ctx context.Context, listener net.Listener, handler http.Handler, closeTimeout time.Duration) error {
	server := NewServer(handler)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := server.Shutdown(shutdownContext)
	if err != nil {
		_ = server.Close()
	}
	<-serveErr
	return err
}

func serve(t *testing.T, handler http.Handler, closeTimeout time.Duration) *served {
	t.Helper()
	listener, err := listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s := &served{address: listener.Addr().String(), cancel: cancel, ended: make(chan error, 1)}
	go func() { s.ended <- serveUntilDone(ctx, listener, handler, closeTimeout) }()
	t.Cleanup(cancel)
	return s
}

func TestServeAnswersOnAConnection(t *testing.T) {
	backend := &fakeBackend{result: taken(7), heartbeatURL: "10.1.0.2:8102"}
	s := serve(t, Handler(backend, Options{Log: quiet()}), time.Minute)
	connection, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for range 2 {
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s",
			heartbeatPath, len(heartbeatExample), heartbeatExample)
		assert.NilError(t, err)
		answer, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), `{"heartbeatUrl":"10.1.0.2:8102"}`)
	}
	s.cancel()
	assert.NilError(t, <-s.ended)
}

func TestTruncatedBodyIsRejected(t *testing.T) {
	backend := &fakeBackend{result: taken(7)}
	s := serve(t, Handler(backend, Options{Log: quiet()}), time.Minute)
	connection, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: n\r\n%s: 0\r\nContent-Length: 100\r\n\r\n%s",
		pathReplace, headerBaseVersion, configExample)
	assert.NilError(t, err)
	assert.NilError(t, connection.(*net.TCPConn).CloseWrite())
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	assert.Equal(t, len(backend.commands), 0)
}

func TestServeLetsRequestsInFlightEnd(t *testing.T) {
	begun := make(chan struct{})
	release := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	s := serve(t, handler, time.Minute)
	type reply struct {
		body string
		err  error
	}
	replies := make(chan reply, 1)
	go func() {
		answer, err := http.Get("http://" + s.address + "/")
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		replies <- reply{body: string(body), err: err}
	}()
	<-begun
	s.cancel()
	close(release)
	assert.NilError(t, <-s.ended)
	got := <-replies
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "whole")
}

func TestServeAbortsRequestsAfterCloseTimeout(t *testing.T) {
	begun := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	s := serve(t, handler, time.Millisecond)
	failed := make(chan error, 1)
	go func() {
		answer, err := http.Get("http://" + s.address + "/")
		if err == nil {
			answer.Body.Close()
		}
		failed <- err
	}()
	<-begun
	s.cancel()
	assert.Assert(t, errors.Is(<-s.ended, context.DeadlineExceeded))
	assert.Assert(t, <-failed != nil)
}

func TestServeReturnsListenerError(t *testing.T) {
	listener, err := listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	assert.ErrorContains(t, serveUntilDone(t.Context(), listener, http.NotFoundHandler(), time.Minute), "closed")
}

func TestBodyErrors(t *testing.T) {
	timeout := &net.OpError{Op: "read", Err: errTimeout{}}
	assert.Equal(t, bodyError(timeout).status, http.StatusRequestTimeout)
	assert.Equal(t, bodyError(io.ErrUnexpectedEOF).status, http.StatusBadRequest)
	assert.Equal(t, bodyError(&http.MaxBytesError{Limit: 1}).status, http.StatusRequestEntityTooLarge)
	assert.Assert(t, strings.Contains(bodyError(errors.New("reset")).text, "reset"))
}

// errTimeout is what reading gives after a deadline.
type errTimeout struct{}

func (errTimeout) Error() string   { return "i/o timeout" }
func (errTimeout) Timeout() bool   { return true }
func (errTimeout) Temporary() bool { return true }
