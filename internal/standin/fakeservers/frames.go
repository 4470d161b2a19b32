package fakeservers

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// The types of frames. Source: PROTOCOL.
const (
	frameAlive   = 'G'
	frameLoad    = 'T'
	frameAbandon = 'A'
	frameRequest = 'R'
	frameReply   = 'Y'
)

// FrameServer is a server of frames.
type FrameServer struct {
	Behaviour
	net.Listener
	mutex sync.Mutex
	conns map[net.Conn]bool
}

// StartFrameServer starts a server on loopback.
func StartFrameServer(medianMs, sigma float64) (*FrameServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &FrameServer{Listener: listener, conns: map[net.Conn]bool{}}
	f.MedianMs, f.Sigma = medianMs, sigma
	go f.accept(listener)
	return f, nil
}

// accept serves the connections of a listener until that is closed.
func (f *FrameServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f.mutex.Lock()
		f.conns[conn] = true
		f.mutex.Unlock()
		go f.serve(conn)
	}
}

// Kill ends the server as a killed process ends: its connections are reset, new ones are refused.
func (f *FrameServer) Kill() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.Listener.Close()
	for conn := range f.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Restart listens again, at the address from before Kill.
func (f *FrameServer) Restart() error {
	listener, err := net.Listen("tcp", f.Addr().String())
	if err != nil {
		return err
	}
	f.mutex.Lock()
	f.Listener = listener
	f.mutex.Unlock()
	go f.accept(listener)
	return nil
}

// serve serves one connection to its end, which cancels its requests.
func (f *FrameServer) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		f.mutex.Lock()
		delete(f.conns, conn)
		f.mutex.Unlock()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &frameSession{server: f, ctx: ctx, conn: conn, cancels: map[string]context.CancelFunc{}}
	for reader := bufio.NewReader(conn); ; {
		var length [4]byte
		if _, err := io.ReadFull(reader, length[:]); err != nil {
			return
		}
		frame := make([]byte, binary.LittleEndian.Uint32(length[:]))
		if _, err := io.ReadFull(reader, frame); err != nil || len(frame) == 0 {
			return
		}
		s.handle(frame[0], string(frame[1:]))
	}
}

// frameSession is one connection to a server of frames.
type frameSession struct {
	server  *FrameServer
	ctx     context.Context // ends with the connection
	conn    net.Conn
	mutex   sync.Mutex                    // of writes and cancels
	cancels map[string]context.CancelFunc // of requests in progress, by ID
}

// write writes a frame. An error is that of a connection that has ended.
func (s *frameSession) write(kind byte, payload string) {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(payload)))
	frame = append(append(frame, kind), payload...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conn.Write(frame)
}

// handle handles a frame of the broker.
func (s *frameSession) handle(kind byte, payload string) {
	switch kind {
	case frameAlive:
		s.write(frameAlive, "OK")
	case frameLoad:
		s.write(frameLoad, "inflight=0")
	case frameAbandon:
		s.mutex.Lock()
		if cancel := s.cancels[payload]; cancel != nil {
			cancel()
		}
		s.mutex.Unlock()
	case frameRequest:
		for rest := payload; rest != ""; {
			line, after, _ := strings.Cut(rest, "\n")
			var id string
			var shard, length int
			var deadlineMs float64
			fmt.Sscanf(line, "%s %d d=%g %d", &id, &shard, &deadlineMs, &length)
			rest = after[length:]
			s.start(id, shard, after[:length])
		}
	}
}

// start starts a request.
func (s *frameSession) start(id string, shard int, text string) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mutex.Lock()
	s.cancels[id] = cancel
	s.mutex.Unlock()
	var done func(status string)
	if s.server.OnRequest != nil {
		done = s.server.OnRequest(id)
	}
	go func() {
		s.run(ctx, id, shard, text, done)
		s.mutex.Lock()
		delete(s.cancels, id)
		s.mutex.Unlock()
		cancel()
	}()
}

// run runs a request, and sends its answer if there is one.
func (s *frameSession) run(ctx context.Context, id string, shard int, text string, done func(status string)) {
	status := ""
	if s.server.Serve != nil {
		s.server.CallCount.Add(1)
		status = s.server.Serve(ctx, id, shard)
	} else if s.server.wait(ctx) {
		status = "OK"
	}
	if status != "" && done != nil {
		done(status)
	}
	switch status {
	case "":
	case "OK":
		s.write(frameReply, id+" OK 0 -\n"+ShardResult(shard, text))
	default:
		s.write(frameReply, id+" "+status+" 0 -\n")
	}
}
