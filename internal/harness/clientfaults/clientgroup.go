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

// Crowd is many clients of one behaviour.
type Crowd struct {
	address   string
	behaviour Behaviour
	cancel    context.CancelFunc
	clients   sync.WaitGroup
}

// StartCrowd starts so many clients, which connect to an address over and over until ctx ends or Stop.
func StartCrowd(ctx context.Context, address string, clients int, behaviour Behaviour) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{address: address, behaviour: behaviour, cancel: cancel}
	for range clients {
		c.clients.Go(func() { c.play(ctx) })
	}
	return c
}

// Stop ends the clients and closes their connections.
func (c *Crowd) Stop() {
	c.cancel()
	c.clients.Wait()
}

// play is one client.
func (c *Crowd) play(ctx context.Context) {
	dialer := net.Dialer{Timeout: connectTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", c.address)
		if err == nil {
			c.use(ctx, conn.(*net.TCPConn))
		}
		pause(ctx, reconnectPause)
	}
}

// use plays the behaviour on a connection until either side closes it or ctx ends.
func (c *Crowd) use(ctx context.Context, conn *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if !c.behaviour.IgnoresAnswers {
		go func() {
			defer cancel()
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	if c.write(ctx, conn) != nil {
		return
	}
	if c.behaviour.ClosesWriting {
		_ = conn.CloseWrite()
	}
	<-ctx.Done()
}

// write makes the behaviour's writes.
func (c *Crowd) write(ctx context.Context, conn net.Conn) error {
	if _, err := conn.Write([]byte(c.behaviour.Opening)); err != nil {
		return err
	}
	if c.behaviour.Next == nil {
		return nil
	}
	for number := 0; ; number++ {
		block := c.behaviour.Next(number)
		if block == nil {
			return nil
		}
		if c.behaviour.Pause > 0 {
			pause(ctx, c.behaviour.Pause)
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
