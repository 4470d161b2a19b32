package clientfaults

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	// connectTimeout bounds the setup of a connection.
	connectTimeout = time.Second
	// reconnectPause is the time between the end of a connection and the next one.
	reconnectPause = 10 * time.Millisecond
)

// contentLength is the last header line of a head, with the empty line that ends it.
func contentLength(bytes int) string { return "Content-Length: " + strconv.Itoa(bytes) + "\r\n\r\n" }

// Group is many clients of one behaviour.
type Group struct {
	address   string
	behaviour Behaviour
	cancel    context.CancelFunc
	clients   sync.WaitGroup
}

// StartGroup starts so many clients, which connect to an address over and over until ctx ends or Stop.
func StartGroup(ctx context.Context, address string, clients int, behaviour Behaviour) *Group {
	ctx, cancel := context.WithCancel(ctx)
	g := &Group{address: address, behaviour: behaviour, cancel: cancel}
	for range clients {
		g.clients.Go(func() { g.play(ctx) })
	}
	return g
}

// Stop ends the clients and closes their connections.
func (g *Group) Stop() {
	g.cancel()
	g.clients.Wait()
}

// play is one client.
func (g *Group) play(ctx context.Context) {
	dialer := net.Dialer{Timeout: connectTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", g.address)
		if err == nil {
			g.use(ctx, conn.(*net.TCPConn))
		}
		pause(ctx, reconnectPause)
	}
}

// use plays the behaviour on a connection until either side closes it or ctx ends.
func (g *Group) use(ctx context.Context, conn *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if !g.behaviour.IgnoresAnswers {
		go func() {
			defer cancel()
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	if g.write(ctx, conn) != nil {
		return
	}
	if g.behaviour.ClosesWriting {
		_ = conn.CloseWrite()
	}
	<-ctx.Done()
}

// write makes the behaviour's writes.
func (g *Group) write(ctx context.Context, conn net.Conn) error {
	if _, err := conn.Write([]byte(g.behaviour.Opening)); err != nil {
		return err
	}
	if g.behaviour.Next == nil {
		return nil
	}
	for number := 0; ; number++ {
		block := g.behaviour.Next(number)
		if block == nil {
			return nil
		}
		if g.behaviour.Pause > 0 {
			pause(ctx, g.behaviour.Pause)
		}
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
