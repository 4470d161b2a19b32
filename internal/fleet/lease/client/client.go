// Package client is an instance's part: it asks the voters for duties, does the work of those that it is granted, and stops on its
// own before anybody may think that it has. Searches never wait for any of it. The rules are lease.Holder's; here are the
// questions, the goroutines and the time.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/transport"
	"kestrelspread/internal/fleet/lease/voter"
)

// Job is a duty's work under one grant.
type Job interface {
	// Step does the next piece and tells after how long it wants to be called again. Whatever it does to others it does
	// through a fenced receiver, under the grant's token. An error of fence.ErrOld or ErrLost ends the work; after any other
	// it is called again.
	Step(ctx context.Context, g *Grant) (again time.Duration, err error)
}

// ErrLeaseLost says that the duty is somebody else's by now.
var ErrLeaseLost = errors.New("the duty is somebody else's")

// Options are an instance's.
type Options struct {
	Name         string // one life of it: a restart under the same name is another
	Voters       []voter.Address
	Config       lease.Config
	Jobs         map[string]func() Job // by duty
	WatchedRoles []string              // duties of which Said is to hear how far they have come
	OnProgress   func(list []replica.ProgressReport)
	Log          zerolog.Logger
}

// Client asks and works.
type Client struct {
	options        Options
	eligibleRoles  []string
	mu             sync.Mutex
	holder         *lease.Holder
	grants         map[string]*Grant
	peers          []*transport.Peer
	voterNames     []string
	currentPeer    int // voter that is asked
	quit           chan struct{}
	done           chan struct{}
	workers        sync.WaitGroup
	rolesDefined   atomic.Bool // the voters know of this instance's duties
	leaderTimedOut bool        // nobody answers
	Requests       atomic.Int64
	LateSteps      atomic.Int64 // pieces of work that ended after the lease had run out
}

// Grant is a duty that is held.
type Grant struct {
	Role             string
	Token            uint64
	Progress         []byte // how far the work had come when it was granted
	client           *Client
	ctx              context.Context
	cancel           context.CancelFunc
	releaseRequested chan struct{}
	releaseOnce      sync.Once
	progressSeq      uint64 // said to the voters
}

// New makes one; Go starts it.
func New(o Options) (*Client, error) {
	n := &Client{options: o, holder: lease.NewHolder(o.Config), grants: map[string]*Grant{}, quit: make(chan struct{}), done: make(chan struct{})}
	n.eligibleRoles = []string{}
	for d := range o.Jobs {
		n.eligibleRoles = append(n.eligibleRoles, d)
	}
	slices.Sort(n.eligibleRoles)
	for _, a := range o.Voters {
		p, err := transport.Dial(a.Addr)
		if err != nil {
			return nil, err
		}
		n.peers, n.voterNames = append(n.peers, p), append(n.voterNames, a.Name)
	}
	n.currentPeer = rand.IntN(len(n.peers)) // which is asked first is nobody's decision: whoever it is names the one that leads
	return n, nil
}

// Go asks until Close.
func (n *Client) Start() { go n.run() }

func (n *Client) pollInterval() time.Duration {
	return time.Duration(n.options.Config.PollIntervalMs() * 1e6)
}

func (n *Client) run() {
	defer close(n.done)
	for {
		wait := n.pollInterval()
		if !n.requestLeases() {
			wait /= 4 // another one at once, or nearly
		}
		select {
		case <-n.quit:
			return
		case <-time.After(wait):
		}
	}
}

// requestLeases asks once, and does what the answer says. The time that counts is when the question went.
func (n *Client) requestLeases() bool {
	n.mu.Lock()
	q := replica.Request{Instance: n.options.Name, SentAt: voter.Now(), HeldTokens: map[string]uint64{}, EligibleRoles: n.eligibleRoles, WatchedRoles: n.options.WatchedRoles}
	n.applyActions(n.holder.ExpireLeases(q.SentAt))
	for _, h := range n.holder.Leases() {
		q.HeldTokens[h.Role] = h.Token
	}
	n.mu.Unlock()
	ctx, end := context.WithTimeout(context.Background(), time.Duration(n.options.Config.RequestTimeoutMs()*1e6))
	defer end()
	n.Requests.Add(1)
	a, err := n.peers[n.currentPeer].RequestLeases(ctx, q)
	if err != nil || !a.OK {
		n.mu.Lock()
		if n.currentPeer = (n.currentPeer + 1) % len(n.peers); err == nil && a.LeaderName != "" {
			if to := slices.Index(n.voterNames, a.LeaderName); to >= 0 {
				n.currentPeer = to
			}
		}
		n.applyActions(n.holder.ExpireLeases(voter.Now()))
		if quiet := n.holder.LeaderTimedOut(voter.Now()); quiet != n.leaderTimedOut {
			if n.leaderTimedOut = quiet; quiet {
				n.options.Log.Warn().Msg("owner: no voter that leads answers; this instance does no duty, and searches go on")
			}
		}
		n.mu.Unlock()
		return false
	}
	if !n.rolesDefined.Load() {
		n.defineRoles()
	}
	n.mu.Lock()
	n.leaderTimedOut = false
	n.holder.RecordLeaderContact(voter.Now())
	for _, g := range a.Grants {
		n.applyActions(n.holder.HandleGrant(voter.Now(), a.SentAt, g.Role, g.Token, g.Progress, g.ReleaseRequested))
	}
	for _, d := range n.eligibleRoles {
		if token, lost := a.LostRoles[d]; lost {
			n.applyActions(n.holder.HandleLost(d, token))
		}
	}
	n.mu.Unlock()
	if n.options.OnProgress != nil && len(a.ProgressReports) > 0 {
		n.options.OnProgress(a.ProgressReports)
	}
	return true
}

// defineRoles has the voters know this instance's duties, once.
func (n *Client) defineRoles() {
	for _, d := range n.eligibleRoles {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		r, err := n.peers[n.currentPeer].SubmitCommand(ctx, lease.Command{Kind: lease.CommandDefine, Role: d})
		end()
		if err != nil || !r.OK {
			return
		}
	}
	n.rolesDefined.Store(true)
}

// applyActions carries out what the holder says. The lock is held.
func (n *Client) applyActions(list []lease.Action) {
	for _, a := range list {
		switch {
		case a.Start != nil:
			n.startGrant(a.Start)
		case a.Stop != nil:
			if g := n.grants[a.Stop.Role]; g != nil && g.Token == a.Stop.Token {
				n.options.Log.Warn().Str("duty", g.Role).Uint64("token", g.Token).Msg("owner: stopped, as the lease has run out or is another's")
				g.cancel()
				delete(n.grants, g.Role)
			}
		case a.ReportReleased != nil:
			go n.reportReleased(a.ReportReleased.Role, a.ReportReleased.Token)
		case a.Finish != nil:
			if g := n.grants[a.Finish.Role]; g != nil {
				g.requestRelease()
			}
		}
	}
}

func (g *Grant) requestRelease() { g.releaseOnce.Do(func() { close(g.releaseRequested) }) }

func (n *Client) startGrant(h *lease.Lease) {
	job := n.options.Jobs[h.Role]
	if job == nil {
		return
	}
	g := &Grant{Role: h.Role, Token: h.Token, Progress: h.Progress, client: n, releaseRequested: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	if h.ReleaseRequested {
		g.requestRelease()
	}
	n.grants[h.Role] = g
	n.options.Log.Info().Str("duty", g.Role).Uint64("token", g.Token).Msg("owner: this instance has the duty")
	n.workers.Add(1)
	go n.runGrant(g, job())
}

// runGrant works until the grant ends, or until it is asked to let go and the step at hand is done.
func (n *Client) runGrant(g *Grant, job Job) {
	defer n.workers.Done()
	defer g.cancel()
	bad := ""
	for {
		select {
		case <-g.releaseRequested:
			n.releaseGrant(g)
			return
		default:
		}
		if g.ctx.Err() != nil {
			return
		}
		again, err := job.Step(g.ctx, g)
		if !g.MayAct() {
			n.LateSteps.Add(1)
		}
		switch {
		case err == nil:
			bad = ""
		case errors.Is(err, fence.ErrStaleToken) || errors.Is(err, ErrLeaseLost):
			n.options.Log.Warn().Str("duty", g.Role).Uint64("token", g.Token).Err(err).Msg("owner: an old token was refused")
			n.dropGrant(g)
			return
		default:
			again = max(again, n.pollInterval())
			if text := err.Error(); text != bad && g.ctx.Err() == nil {
				bad = text
				n.options.Log.Warn().Str("duty", g.Role).Err(err).Msg("owner: a step failed; it is tried again")
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-g.releaseRequested:
		case <-time.After(again):
		}
	}
}

// dropGrant lets go of a grant that is another's.
func (n *Client) dropGrant(g *Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.grants[g.Role] == g {
		delete(n.grants, g.Role)
		n.holder.MarkReleased(g.Role)
	}
}

// releaseGrant lets go by itself: first here, then at the voters.
func (n *Client) releaseGrant(g *Grant) {
	n.dropGrant(g)
	n.options.Log.Info().Str("duty", g.Role).Uint64("token", g.Token).Msg("owner: let go")
	n.reportReleased(g.Role, g.Token)
}

// reportReleased says so to the voters. Where it is lost, their next answer brings it about again.
func (n *Client) reportReleased(duty string, token uint64) {
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	n.submit(ctx, lease.Command{Kind: lease.CommandRelease, Role: duty, Token: token})
}

func (n *Client) submit(ctx context.Context, c lease.Command) (transport.CommandResult, error) {
	peers := map[string]*transport.Peer{}
	for i, name := range n.voterNames {
		peers[name] = n.peers[i]
	}
	n.mu.Lock()
	first := n.voterNames[n.currentPeer]
	n.mu.Unlock()
	return transport.SubmitToLeader(ctx, peers, first, c)
}

// MayAct tells whether something may be begun now. A pause may come between this and the act: the receiver's fence is what counts.
func (g *Grant) MayAct() bool {
	g.client.mu.Lock()
	defer g.client.mu.Unlock()
	token, may := g.client.holder.MayAct(voter.Now(), g.Role)
	return may && token == g.Token && g.client.grants[g.Role] == g
}

// Effect is one of this grant's.
func (g *Grant) Effect(key string, body []byte) fence.Effect {
	return fence.Effect{Role: g.Role, Token: g.Token, Key: key, Body: body}
}

// SaveProgress has the voters keep how far the work has come. The same said twice does no harm, so it is said until somebody
// answers or the grant ends.
func (g *Grant) SaveProgress(ctx context.Context, data []byte) error {
	g.progressSeq++
	for {
		within, end := context.WithTimeout(ctx, time.Duration(g.client.options.Config.ProgressTimeoutMs()*1e6))
		d, err := g.client.submit(within, lease.Command{Kind: lease.CommandProgress, Role: g.Role, Token: g.Token, Progress: data, ProgressSeq: g.progressSeq})
		end()
		switch {
		case err == nil && d.OK:
			g.Progress = data
			return nil
		case err == nil && d.OutcomeKnown:
			return fmt.Errorf("%w: %s", ErrLeaseLost, d.Reason)
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

// HeldTokens gives what is held now.
func (n *Client) HeldTokens() map[string]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := map[string]uint64{}
	for _, h := range n.holder.Leases() {
		list[h.Role] = h.Token
	}
	return list
}

// Close hands over what is held: each duty ends its step and is let go, within a time; then nothing is asked any more.
func (n *Client) Close(within time.Duration) {
	close(n.quit) // nothing more is granted
	n.mu.Lock()
	for _, g := range n.grants {
		g.requestRelease()
	}
	n.mu.Unlock()
	done := make(chan struct{})
	go func() {
		n.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
	n.mu.Lock()
	for _, g := range n.grants {
		g.cancel()
	}
	n.mu.Unlock()
	select {
	case <-n.done:
	case <-time.After(within):
	}
	for _, p := range n.peers {
		p.Close()
	}
}
