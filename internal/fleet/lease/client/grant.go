package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/lease/voter"
)

// Job is the work of one role under one grant.
type Job interface {
	// Step does the next piece of work, and returns after how long it wants to be called again.
	// What it does to others it does through a fenced receiver, under the grant's token. An error
	// that wraps fence.ErrStaleToken or ErrLeaseLost ends the work; after any other it is called
	// again.
	Step(ctx context.Context, g *Grant) (next time.Duration, err error)
}

// ErrLeaseLost says that the role has been granted to another, or taken away.
var ErrLeaseLost = errors.New("the duty is somebody else's")

// Grant is a role that this instance holds.
type Grant struct {
	Role             string
	Token            uint64 // fencing token of every effect
	Progress         []byte // how far the work has come; at first that of the holder before
	client           *Client
	ctx              context.Context // ends with the lease
	cancel           context.CancelFunc
	releaseRequested chan struct{} // closed once the role is to be released
	releaseOnce      sync.Once
	progressSeq      uint64 // of the latest progress sent to the voters
}

func (g *Grant) requestRelease() { g.releaseOnce.Do(func() { close(g.releaseRequested) }) }

// releaseIsRequested tells whether the role is to be released.
func (g *Grant) releaseIsRequested() bool {
	select {
	case <-g.releaseRequested:
		return true
	default:
		return false
	}
}

// MayAct tells whether an effect may begin now. The process may be paused between this check and
// the effect: the receiver's fence is what decides.
func (g *Grant) MayAct() bool {
	g.client.mu.Lock()
	defer g.client.mu.Unlock()
	token, may := g.client.holder.MayAct(voter.Now(), g.Role)
	return may && token == g.Token && g.client.grants[g.Role] == g
}

// Effect returns an effect under this grant's token. The same effect has the same key, whichever
// holder does it.
func (g *Grant) Effect(key string, body []byte) fence.Effect {
	return fence.Effect{Role: g.Role, Token: g.Token, Key: key, Body: body}
}

// SaveProgress has the voters store how far the work has come. Saving the same twice is harmless,
// so it is sent until a voter knows the outcome or the context ends.
func (g *Grant) SaveProgress(ctx context.Context, progress []byte) error {
	g.progressSeq++
	c := lease.Command{Kind: lease.CommandProgress, Role: g.Role, Token: g.Token, Progress: progress, ProgressSeq: g.progressSeq}
	for {
		result, err := g.client.submit(ctx, c, millis(g.client.options.Config.ProgressTimeoutMs()))
		switch {
		case err == nil && result.OK:
			g.Progress = progress
			return nil
		case err == nil && result.OutcomeKnown:
			return fmt.Errorf("%w: %s", ErrLeaseLost, result.Reason)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(g.client.pollInterval() / 2):
		}
	}
}

// startGrant starts the work of a role. The lock is held.
func (c *Client) startGrant(granted *lease.Lease) {
	newJob := c.options.Jobs[granted.Role]
	if newJob == nil {
		return
	}
	g := &Grant{
		Role:             granted.Role,
		Token:            granted.Token,
		Progress:         granted.Progress,
		client:           c,
		releaseRequested: make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	if granted.ReleaseRequested {
		g.requestRelease()
	}
	c.grants[granted.Role] = g
	c.options.Log.Info().Str("duty", g.Role).Uint64("token", g.Token).Msg("owner: this instance has the duty")
	c.workers.Add(1)
	go c.runGrant(g, newJob())
}

// stopGrant stops the work of a lease that has ended. The lock is held.
func (c *Client) stopGrant(ended *lease.Lease) {
	g := c.grants[ended.Role]
	if g == nil || g.Token != ended.Token {
		return
	}
	c.options.Log.Warn().Str("duty", g.Role).Uint64("token", g.Token).Msg("owner: stopped, as the lease has run out or is another's")
	g.cancel()
	delete(c.grants, g.Role)
}

// runGrant calls the job's steps until the lease ends, or the role is to be released and the step
// at hand is done.
func (c *Client) runGrant(g *Grant, job Job) {
	defer c.workers.Done()
	defer g.cancel()
	lastFailure := ""
	for {
		if g.releaseIsRequested() {
			c.releaseGrant(g)
			return
		}
		if g.ctx.Err() != nil {
			return
		}
		next, err := job.Step(g.ctx, g)
		switch {
		case err == nil:
			lastFailure = ""
		case errors.Is(err, fence.ErrStaleToken) || errors.Is(err, ErrLeaseLost):
			c.options.Log.Warn().Str("duty", g.Role).Uint64("token", g.Token).Err(err).Msg("owner: an old token was refused")
			c.dropGrant(g)
			return
		default:
			next = max(next, c.pollInterval())
			lastFailure = c.logFailure(g, err, lastFailure)
		}
		select {
		case <-g.ctx.Done():
			return
		case <-g.releaseRequested:
		case <-time.After(next):
		}
	}
}

// logFailure logs a failed step, but for one that failed as the step before did.
func (c *Client) logFailure(g *Grant, err error, lastFailure string) string {
	failure := err.Error()
	if failure == lastFailure || g.ctx.Err() != nil {
		return lastFailure
	}
	c.options.Log.Warn().Str("duty", g.Role).Err(err).Msg("owner: a step failed; it is tried again")
	return failure
}

// dropGrant forgets a grant, for good under its token.
func (c *Client) dropGrant(g *Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grants[g.Role] == g {
		delete(c.grants, g.Role)
		c.holder.MarkReleased(g.Role)
	}
}

// releaseGrant releases a role: first on this side, then at the voters, so that no effect can
// begin once another may hold it.
func (c *Client) releaseGrant(g *Grant) {
	c.dropGrant(g)
	c.options.Log.Info().Str("duty", g.Role).Uint64("token", g.Token).Msg("owner: let go")
	c.reportReleased(g.Role, g.Token)
}

// reportReleased tells the voters of a release. If that is lost, their next response has it
// reported again (lease.Action.ReportReleased).
func (c *Client) reportReleased(role string, token uint64) {
	c.submit(context.Background(), lease.Command{Kind: lease.CommandRelease, Role: role, Token: token}, reportTimeout)
}
