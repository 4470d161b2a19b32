package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fakeServer stands for a server; what it does with a shard request can be set while it runs.
type fakeServer struct {
	net.Listener
	sync.Mutex
	behaviour   string // OK, ERROR, REJECTED, hang, reset, or a shard that hangs
	calls       int
	cancelled   []string // ids of the cancelled
	connections []net.Conn
}

func startServer(t *testing.T) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeServer{Listener: listener, behaviour: "OK"}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			server.Lock()
			server.connections = append(server.connections, c)
			server.Unlock()
			go server.serve(c)
		}
	}()
	t.Cleanup(server.stop)
	return server
}

func (n *fakeServer) stop() {
	n.Close()
	n.Lock()
	defer n.Unlock()
	for _, c := range n.connections {
		c.Close()
	}
}

func (n *fakeServer) setBehaviour(behaviour string) {
	n.Lock()
	defer n.Unlock()
	n.behaviour = behaviour
}

func (n *fakeServer) callCount() int {
	n.Lock()
	defer n.Unlock()
	return n.calls
}

func encodeFrame(kind byte, payload string) []byte {
	return append(append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(payload))), kind), payload...)
}

func (n *fakeServer) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		var size uint32
		if binary.Read(r, binary.LittleEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		n.Lock()
		behaviour := n.behaviour
		switch frame[0] {
		case 'A':
			n.cancelled = append(n.cancelled, string(frame[1:]))
		case 'G', 'T':
			c.Write(encodeFrame(frame[0], "inflight=0"))
		case 'R':
			n.calls++
			if behaviour == "reset" {
				n.Unlock()
				return
			}
			for rest := string(frame[1:]); rest != ""; {
				line, after, _ := strings.Cut(rest, "\n")
				var id string
				var shard, wait, length int
				fmt.Sscanf(line, "%s %d d=%d %d", &id, &shard, &wait, &length)
				if rest = after[length:]; behaviour == "hang" || behaviour == fmt.Sprint(shard) {
					continue
				}
				end := behaviour
				if end != "ERROR" && end != "REJECTED" {
					end = "OK"
				}
				c.Write(encodeFrame('Y', fmt.Sprintf("%s %s 5 -\n\"%s\\%d", id, end, after[:length], shard)))
			}
		}
		n.Unlock()
	}
}

// fakeDiscovery stands for discovery: its updates go to whoever watches.
type fakeDiscovery struct {
	*http.Server
	address string
	updates chan string
}

func startDiscovery(t *testing.T, address string) *fakeDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	discovery := &fakeDiscovery{address: listener.Addr().String(), updates: make(chan string, 16)}
	discovery.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/endpoints" || r.URL.Query().Get("watch") != "1" {
			w.WriteHeader(404)
			return
		}
		flusher := w.(http.Flusher)
		io.WriteString(w, "\n")
		for flusher.Flush(); ; flusher.Flush() {
			select {
			case line := <-discovery.updates:
				io.WriteString(w, line+"\n")
			case <-time.After(time.Second):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	})}
	go discovery.Serve(listener)
	t.Cleanup(func() { discovery.Server.Close() })
	return discovery
}

func membershipUpdate(version int, reset bool, state string, servers ...*fakeServer) string {
	var entries []string
	for i, n := range servers {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":%q,`+
			`"weight":1.0,"startedAtMs":0}`, i, n.Addr(), i, state))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, reset, strings.Join(entries, ","))
}

// pausedServer is a server with one connection, which reads nothing until it resumes.
type pausedServer struct {
	net.Listener
	resume, finished chan struct{} // finished: all that came has been read
	ids              []string
}

func startPausedServer(t *testing.T) *pausedServer {
	t.Helper()
	// What its side of the connection holds stays small, and follows from here on.
	smallBuffer := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
		return err
	}}
	listener, err := smallBuffer.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &pausedServer{Listener: listener, resume: make(chan struct{}), finished: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		defer close(server.finished)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-server.resume
		for r := bufio.NewReader(c); ; {
			var size uint32
			if binary.Read(r, binary.LittleEndian, &size) != nil {
				return
			}
			frame := make([]byte, size)
			if _, err := io.ReadFull(r, frame); err != nil {
				return
			}
			if id, _, _ := strings.Cut(string(frame[1:]), "."); frame[0] == 'R' {
				server.ids = append(server.ids, id)
			}
		}
	}()
	return server
}
