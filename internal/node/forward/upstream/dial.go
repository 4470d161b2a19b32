package upstream

import (
	"context"
	"time"
)

// connectTimes estimates how long connections take to be established, over all brokers.
type connectTimes struct {
	mean time.Duration
	// minWait and maxWait bound the wait.
	minWait, maxWait time.Duration
}

const (
	// waitFactor is how many times the mean a request waits. That is far below the second after
	// which the kernel repeats a lost opening packet, which is as long as most latency targets.
	waitFactor = 8
	// meanWeight: one connection has the weight 1/meanWeight in the mean.
	meanWeight = 8
)

// waitLimit returns how long a request waits for a connection before another broker is tried.
func (c *connectTimes) waitLimit() time.Duration {
	return min(max(waitFactor*c.mean, c.minWait), c.maxWait)
}

// observe records the time that a connection took. One that took longer than the wait counts as the
// wait: a network that became slower is learnt soon, and a single lost packet changes little.
func (c *connectTimes) observe(took time.Duration) {
	c.mean += (min(took, c.waitLimit()) - c.mean) / meanWeight
}

// dial is a connection that is being opened for one request. Once that no longer waits for it, the
// connection goes to the pool.
type dial struct {
	pool      *Pool
	host      *host
	startedAt time.Time
	result    chan dialResult
	decided   bool // the request gets the result, or no longer waits; guarded by pool.mutex
}

// dialResult is the result of a dial.
type dialResult struct {
	conn *Conn
	err  error
}

// open opens a connection, and waits for it several times as long as connections usually take,
// twice as long for each earlier attempt of the request, but not beyond the deadline. The error is
// of type ErrExhausted or ErrConnectFailed.
func (p *Pool) open(ctx context.Context, target Target, deadline time.Time) (*Conn, error) {
	h, err := p.reserve(target)
	if err != nil {
		return nil, err
	}
	d := &dial{pool: p, host: h, startedAt: time.Now(), result: make(chan dialResult, 1)}
	go d.run(target.Address)
	conn, err := d.await(ctx, p.connectWait(target.EarlierAttempts), deadline)
	if err != nil {
		p.Counters.Failed.Add(1)
		return nil, failure(ErrConnectFailed, "connection to "+target.InstanceID, err)
	}
	return conn, nil
}

// connectWait returns how long to wait for a connection after so many earlier attempts.
func (p *Pool) connectWait(earlier int) time.Duration {
	const maxDoublings = 8
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return min(p.connectTimes.waitLimit()<<min(earlier, maxDoublings), p.options.ConnectTimeout)
}

// run opens the connection. It runs on a goroutine of its own, which ends after ConnectTimeout at
// the latest.
func (d *dial) run(address string) {
	ctx, cancel := context.WithDeadline(context.Background(), d.startedAt.Add(d.pool.options.ConnectTimeout))
	defer cancel()
	socket, err := d.pool.connect(ctx, address)
	var conn *Conn
	if err == nil {
		conn, err = newConn(d.pool, d.host, socket)
	}
	if err != nil && socket != nil {
		socket.Close()
	}
	if d.finish(conn, err) {
		d.result <- dialResult{conn, err}
	}
}

// finish records the result of the dial. It reports whether the request still waits for it; else
// the connection goes to the pool.
func (d *dial) finish(conn *Conn, err error) bool {
	p := d.pool
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.releaseLocked(d.host)
	} else {
		conn.connectTime = time.Since(d.startedAt)
		p.Counters.Opened.Add(1)
		p.connectTimes.observe(conn.connectTime)
	}
	if !d.decided {
		d.decided = true
		return true
	}
	p.abandonedDials--
	if conn != nil {
		p.putLocked(conn)
	}
	return false
}

// await waits for the connection. If this process itself was not running meanwhile, it waits once
// more: the time then says nothing about the broker.
func (d *dial) await(ctx context.Context, wait time.Duration, deadline time.Time) (*Conn, error) {
	limit := d.startedAt.Add(wait)
	if deadline.Before(limit) {
		limit = deadline
	}
	if !limit.Before(d.startedAt.Add(d.pool.options.ConnectTimeout)) {
		return d.awaitResult(ctx)
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	for mayRepeat := true; ; mayRepeat = false {
		select {
		case end := <-d.result:
			return end.conn, end.err
		case <-ctx.Done():
			return d.abandon(ctx.Err())
		case <-timer.C:
			now := time.Now()
			if overshoot := now.Sub(limit); !mayRepeat || overshoot < wait/2 || !now.Before(deadline) {
				return d.abandon(context.DeadlineExceeded)
			}
			timer.Reset(wait)
		}
	}
}

// awaitResult waits for the connection for as long as the dial takes.
func (d *dial) awaitResult(ctx context.Context) (*Conn, error) {
	select {
	case end := <-d.result:
		return end.conn, end.err
	case <-ctx.Done():
		return d.abandon(ctx.Err())
	}
}

// abandon ends the wait and leaves the connection to other requests, unless it has been established
// at this very moment.
func (d *dial) abandon(reason error) (*Conn, error) {
	if d.abandonIfPending() {
		return nil, reason
	}
	end := <-d.result
	return end.conn, end.err
}

// abandonIfPending records that the request no longer waits. It reports false where the result is
// already there.
func (d *dial) abandonIfPending() bool {
	d.pool.mutex.Lock()
	defer d.pool.mutex.Unlock()
	if d.decided {
		return false
	}
	d.decided = true
	d.pool.abandonedDials++
	return true
}
