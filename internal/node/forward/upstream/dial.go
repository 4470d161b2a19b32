package upstream

import (
	"context"
	"time"
)

// connectTimes follows how long connections take to come up, over all brokers.
type connectTimes struct {
	mean time.Duration
	// least and most bound the patience.
	least, most time.Duration
}

const (
	// patienceFactor is how many times the mean a connection may take. Far from it lies the second after which the kernel
	// repeats an opening packet that got lost, which is as long as most aims.
	patienceFactor = 8
	// meanWeight is the weight of one connection in the mean: one in meanWeight.
	meanWeight = 8
)

// patience is how long a request waits for a connection to come up before another broker is tried.
func (c *connectTimes) patience() time.Duration {
	return min(max(patienceFactor*c.mean, c.least), c.most)
}

// note takes the time that a connection took. One that nobody waited for any more counts as the patience, so that a network which
// has become slower is learnt of soon, and a single lost packet changes little.
func (c *connectTimes) note(took time.Duration) {
	c.mean += (min(took, c.patience()) - c.mean) / meanWeight
}

// dial is a connection that is being opened for one request. Where that no longer waits for it, the connection is kept for others.
type dial struct {
	pool    *Pool
	host    *host
	begun   time.Time
	result  chan dialed
	settled bool // either the request gets the result, or it no longer waits; guarded by pool.mu
}

// dialed is how a dial ended.
type dialed struct {
	conn *Conn
	err  error
}

// open opens a connection and waits for it as long as connections usually take several times over, twice as long for each
// earlier attempt of the request, and not beyond the time given.
func (p *Pool) open(ctx context.Context, target Target, until time.Time) (*Conn, error) {
	h, err := p.reserve(target)
	if err != nil {
		return nil, err
	}
	d := &dial{pool: p, host: h, begun: time.Now(), result: make(chan dialed, 1)}
	go d.run(target.Address)
	conn, err := d.await(ctx, p.patience(target.Earlier), until)
	if err != nil {
		p.Counters.Failed.Add(1)
		return nil, ConnectFailed.Wrap(err, "connection to %s", target.InstanceID)
	}
	return conn, nil
}

// patience is how long to wait for a connection after so many earlier attempts.
func (p *Pool) patience(earlier int) time.Duration {
	const mostDoublings = 8
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.connectTimes.patience()<<min(earlier, mostDoublings), p.options.ConnectTimeout)
}

// run opens the connection.
func (d *dial) run(address string) {
	ctx, cancel := context.WithDeadline(context.Background(), d.begun.Add(d.pool.options.ConnectTimeout))
	defer cancel()
	socket, err := d.pool.connect(ctx, address)
	var conn *Conn
	if err == nil {
		conn, err = newConn(d.pool, d.host, socket)
	}
	if err != nil && socket != nil {
		socket.Close()
	}
	if d.end(conn, err) {
		d.result <- dialed{conn, err}
	}
}

// end counts how the dial ended. true: its request waits for the result; else the connection is kept for others.
func (d *dial) end(conn *Conn, err error) bool {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.releaseLocked(d.host)
	} else {
		conn.connectTime = time.Since(d.begun)
		p.Counters.Opened.Add(1)
		p.connectTimes.note(conn.connectTime)
	}
	if !d.settled {
		d.settled = true
		return true
	}
	p.unclaimed--
	if conn != nil {
		p.putLocked(conn)
	}
	return false
}

// await waits for the connection. Where this process stood still in the meantime, it waits once more: the time then says
// nothing of the broker.
func (d *dial) await(ctx context.Context, patience time.Duration, until time.Time) (*Conn, error) {
	limit := d.begun.Add(patience)
	if until.Before(limit) {
		limit = until
	}
	if !limit.Before(d.begun.Add(d.pool.options.ConnectTimeout)) {
		return d.awaitEnd(ctx)
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	for again := true; ; again = false {
		select {
		case end := <-d.result:
			return end.conn, end.err
		case <-ctx.Done():
			return d.abandon(ctx.Err())
		case <-timer.C:
			now := time.Now()
			if stood := now.Sub(limit); !again || stood < patience/2 || !now.Before(until) {
				return d.abandon(context.DeadlineExceeded)
			}
			timer.Reset(patience)
		}
	}
}

// awaitEnd waits for the connection for as long as it may take.
func (d *dial) awaitEnd(ctx context.Context) (*Conn, error) {
	select {
	case end := <-d.result:
		return end.conn, end.err
	case <-ctx.Done():
		return d.abandon(ctx.Err())
	}
}

// abandon leaves the connection to other requests, unless it has come this very moment.
func (d *dial) abandon(why error) (*Conn, error) {
	if d.leave() {
		return nil, why
	}
	end := <-d.result
	return end.conn, end.err
}

// leave notes that the request no longer waits. false: the result is there.
func (d *dial) leave() bool {
	d.pool.mu.Lock()
	defer d.pool.mu.Unlock()
	if d.settled {
		return false
	}
	d.settled = true
	d.pool.unclaimed++
	return true
}
