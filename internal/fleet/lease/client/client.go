// Package client is an instance's part: it requests leases of the voters, does the work of the
// roles that it is granted, and stops by itself before anybody may think that it has. Searches
// never wait for any of it. The rules are lease.Holder's; here are the calls, the goroutines and
// the time.
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
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/transport"
	"kestrelspread/internal/fleet/lease/voter"
)

// Options configure a client.
type Options struct {
	Name         string // an incarnation of the instance: a restart is another one
	Voters       []voter.Address
	Config       lease.Config
	Jobs         map[string]func() Job // by role, for which the instance is eligible; one a grant
	WatchedRoles []string              // whose progress OnProgress receives
	OnProgress   func(reports []replica.ProgressReport)
	Log          zerolog.Logger
}

const (
	reportTimeout = time.Second // of a release or a definition
	// retryDivisor shortens the interval after a failed request: the next voter is asked soon.
	retryDivisor = 4
)

// Client requests leases and does the granted work. Start starts its goroutine, and Close ends
// that and those of the grants.
type Client struct {
	options       Options
	eligibleRoles []string // sorted; never nil, which would mean all roles
	peers         []*transport.Peer
	voterNames    []string // of peers, in their order
	rolesDefined  atomic.Bool
	quit          chan struct{} // closed by Close
	done          chan struct{} // closed when the requests have ended
	workers       sync.WaitGroup

	mu             sync.Mutex
	holder         *lease.Holder
	grants         map[string]*Grant // by role
	currentPeer    int               // whom to ask
	leaderTimedOut bool              // as it was logged
}

// ErrNoVoters says that Options names no voter, so that nobody could grant a lease.
var ErrNoVoters = errors.New("no voters")

// New returns a client that has not started. Which voter it asks first is left to chance: whichever
// it is names the leader. Errors: ErrNoVoters, or what transport.Dial says of an address.
func New(options Options) (*Client, error) {
	if len(options.Voters) == 0 {
		return nil, fmt.Errorf("lease client %s: %w", options.Name, ErrNoVoters)
	}
	c := &Client{
		options:       options,
		eligibleRoles: []string{},
		holder:        lease.NewHolder(options.Config),
		grants:        map[string]*Grant{},
		quit:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	for role := range options.Jobs {
		c.eligibleRoles = append(c.eligibleRoles, role)
	}
	slices.Sort(c.eligibleRoles)
	for _, address := range options.Voters {
		peer, err := transport.Dial(address.Addr)
		if err != nil {
			c.closePeers()
			return nil, fmt.Errorf("lease client %s: %w", options.Name, err)
		}
		c.peers, c.voterNames = append(c.peers, peer), append(c.voterNames, address.Name)
	}
	c.currentPeer = rand.IntN(len(c.peers))
	return c, nil
}

// Start requests leases from now on, until Close.
func (c *Client) Start() { go c.run() }

// millis is a time of the configuration as a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (c *Client) pollInterval() time.Duration { return millis(c.options.Config.PollIntervalMs()) }

func (c *Client) run() {
	defer close(c.done)
	for {
		interval := c.pollInterval()
		if !c.requestLeases() {
			interval /= retryDivisor
		}
		select {
		case <-c.quit:
			return
		case <-time.After(interval):
		}
	}
}

// requestLeases sends one request, and carries the response out. Leases count from when the
// request was sent.
func (c *Client) requestLeases() bool {
	peer, request := c.nextRequest()
	ctx, cancel := context.WithTimeout(context.Background(), millis(c.options.Config.RequestTimeoutMs()))
	defer cancel()
	response, err := peer.RequestLeases(ctx, request)
	if err != nil {
		c.handleNoLeader("")
		return false
	}
	if !response.OK {
		c.handleNoLeader(response.LeaderName)
		return false
	}
	if !c.rolesDefined.Load() {
		c.defineRoles(peer)
	}
	c.handleResponse(response)
	if c.options.OnProgress != nil && len(response.ProgressReports) > 0 {
		c.options.OnProgress(response.ProgressReports)
	}
	return true
}

// nextRequest ends the leases that have run out, and says what is held after that.
func (c *Client) nextRequest() (*transport.Peer, replica.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := replica.Request{
		Instance:      c.options.Name,
		SentAt:        voter.Now(),
		HeldTokens:    map[string]uint64{},
		EligibleRoles: c.eligibleRoles,
		WatchedRoles:  c.options.WatchedRoles,
	}
	c.applyActions(c.holder.ExpireLeases(request.SentAt))
	for _, held := range c.holder.Leases() {
		request.HeldTokens[held.Role] = held.Token
	}
	return c.peers[c.currentPeer], request
}

// handleNoLeader turns to the leader where it is named, else to the next voter.
func (c *Client) handleNoLeader(leaderName string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentPeer = (c.currentPeer + 1) % len(c.peers)
	if leader := slices.Index(c.voterNames, leaderName); leaderName != "" && leader >= 0 {
		c.currentPeer = leader
	}
	c.applyActions(c.holder.ExpireLeases(voter.Now()))
	timedOut := c.holder.LeaderTimedOut(voter.Now())
	if timedOut && !c.leaderTimedOut {
		c.options.Log.Warn().Msg("owner: no voter that leads answers; this instance does no duty, and searches go on")
	}
	c.leaderTimedOut = timedOut
}

// handleResponse takes up what a leader has granted, renewed and taken away.
func (c *Client) handleResponse(response transport.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderTimedOut = false
	c.holder.RecordLeaderContact(voter.Now())
	for _, g := range response.Grants {
		c.applyActions(c.holder.HandleGrant(voter.Now(), response.SentAt, g.Role, g.Token, g.Progress, g.ReleaseRequested))
	}
	for _, role := range c.eligibleRoles {
		if token, lost := response.LostRoles[role]; lost {
			c.applyActions(c.holder.HandleLost(role, token))
		}
	}
}

// applyActions carries out what the holder demands. The lock is held.
func (c *Client) applyActions(actions []lease.Action) {
	for _, action := range actions {
		switch {
		case action.Start != nil:
			c.startGrant(action.Start)
		case action.Stop != nil:
			c.stopGrant(action.Stop)
		case action.ReportReleased != nil:
			go c.reportReleased(action.ReportReleased.Role, action.ReportReleased.Token)
		case action.Finish != nil:
			if g := c.grants[action.Finish.Role]; g != nil {
				g.requestRelease()
			}
		}
	}
}

// defineRoles makes this instance's roles known to the voters, once.
func (c *Client) defineRoles(leader *transport.Peer) {
	for _, role := range c.eligibleRoles {
		if !defineRole(leader, role) {
			return
		}
	}
	c.rolesDefined.Store(true)
}

func defineRole(leader *transport.Peer, role string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	result, err := leader.SubmitCommand(ctx, lease.Command{Kind: lease.CommandDefine, Role: role})
	return err == nil && result.OK
}

// submit submits a command to whichever voter leads, within a time.
func (c *Client) submit(ctx context.Context, command lease.Command, timeout time.Duration) (transport.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peers := map[string]*transport.Peer{}
	for i, name := range c.voterNames {
		peers[name] = c.peers[i]
	}
	c.mu.Lock()
	first := c.voterNames[c.currentPeer]
	c.mu.Unlock()
	return transport.SubmitToLeader(ctx, peers, first, command)
}

// Close hands over what is held: each grant finishes its step and is released. What has not been
// released within the time is stopped, and its lease runs out at the voters.
func (c *Client) Close(within time.Duration) {
	close(c.quit) // nothing more is granted
	c.eachGrant((*Grant).requestRelease)
	released := make(chan struct{})
	go func() {
		c.workers.Wait()
		close(released)
	}()
	waitFor(released, within)
	c.eachGrant(func(g *Grant) { g.cancel() })
	waitFor(c.done, within)
	c.closePeers()
}

func (c *Client) closePeers() {
	for _, peer := range c.peers {
		peer.Close()
	}
}

func (c *Client) eachGrant(do func(*Grant)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.grants {
		do(g)
	}
}

// waitFor waits until a channel is closed, for a time at most.
func waitFor(closed <-chan struct{}, within time.Duration) {
	select {
	case <-closed:
	case <-time.After(within):
	}
}
