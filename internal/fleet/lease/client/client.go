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

// ErrLost says that the duty is somebody else's by now.
var ErrLost = errors.New("the duty is somebody else's")

// Options are an instance's.
type Options struct {
	Name   string // one life of it: a restart under the same name is another
	Voters []voter.Address
	Rules  lease.Rules
	Jobs   map[string]func() Job // by duty
	Reads  []string              // duties of which Said is to hear how far they have come
	Said   func(list []replica.Said)
	Log    zerolog.Logger
}

// Instance asks and works.
type Instance struct {
	opt     Options
	can     []string
	lock    sync.Mutex
	holder  *lease.Holder
	work    map[string]*Grant
	peers   []*transport.Peer
	names   []string
	at      int // voter that is asked
	quit    chan struct{}
	ended   chan struct{}
	workers sync.WaitGroup
	known   atomic.Bool // the voters know of this instance's duties
	silent  bool        // nobody answers
	Asked   atomic.Int64
	Late    atomic.Int64 // pieces of work that ended after the lease had run out
}

// Grant is a duty that is held.
type Grant struct {
	Duty  string
	Token uint64
	Data  []byte // how far the work had come when it was granted
	n     *Instance
	ctx   context.Context
	end   context.CancelFunc
	letGo chan struct{}
	once  sync.Once
	words uint64 // said to the voters
}

// New makes one; Go starts it.
func New(o Options) (*Instance, error) {
	n := &Instance{opt: o, holder: lease.NewHolder(o.Rules), work: map[string]*Grant{}, quit: make(chan struct{}), ended: make(chan struct{})}
	n.can = []string{}
	for d := range o.Jobs {
		n.can = append(n.can, d)
	}
	slices.Sort(n.can)
	for _, a := range o.Voters {
		p, err := transport.Dial(a.Addr)
		if err != nil {
			return nil, err
		}
		n.peers, n.names = append(n.peers, p), append(n.names, a.Name)
	}
	n.at = rand.IntN(len(n.peers)) // which is asked first is nobody's decision: whoever it is names the one that leads
	return n, nil
}

// Go asks until Close.
func (n *Instance) Go() { go n.run() }

func (n *Instance) every() time.Duration { return time.Duration(n.opt.Rules.Ask() * 1e6) }

func (n *Instance) run() {
	defer close(n.ended)
	for {
		wait := n.every()
		if !n.ask() {
			wait /= 4 // another one at once, or nearly
		}
		select {
		case <-n.quit:
			return
		case <-time.After(wait):
		}
	}
}

// ask asks once, and does what the answer says. The time that counts is when the question went.
func (n *Instance) ask() bool {
	n.lock.Lock()
	q := replica.Question{Instance: n.opt.Name, At: voter.Now(), Holds: map[string]uint64{}, Can: n.can, Reads: n.opt.Reads}
	n.acts(n.holder.Turn(q.At))
	for _, h := range n.holder.Holds() {
		q.Holds[h.Duty] = h.Token
	}
	n.lock.Unlock()
	ctx, end := context.WithTimeout(context.Background(), time.Duration(n.opt.Rules.Patience()*1e6))
	defer end()
	n.Asked.Add(1)
	a, err := n.peers[n.at].Ask(ctx, q)
	if err != nil || !a.OK {
		n.lock.Lock()
		if n.at = (n.at + 1) % len(n.peers); err == nil && a.Leader != "" {
			if to := slices.Index(n.names, a.Leader); to >= 0 {
				n.at = to
			}
		}
		n.acts(n.holder.Turn(voter.Now()))
		if quiet := n.holder.Quiet(voter.Now()); quiet != n.silent {
			if n.silent = quiet; quiet {
				n.opt.Log.Warn().Msg("owner: no voter that leads answers; this instance does no duty, and searches go on")
			}
		}
		n.lock.Unlock()
		return false
	}
	if !n.known.Load() {
		n.define()
	}
	n.lock.Lock()
	n.silent = false
	n.holder.Heard(voter.Now())
	for _, g := range a.Grants {
		n.acts(n.holder.Granted(voter.Now(), a.At, g.Duty, g.Token, g.Data, g.LetGo))
	}
	for _, d := range n.can {
		if token, lost := a.Lost[d]; lost {
			n.acts(n.holder.Lost(d, token))
		}
	}
	n.lock.Unlock()
	if n.opt.Said != nil && len(a.Said) > 0 {
		n.opt.Said(a.Said)
	}
	return true
}

// define has the voters know this instance's duties, once.
func (n *Instance) define() {
	for _, d := range n.can {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		r, err := n.peers[n.at].Do(ctx, lease.Command{Kind: lease.Define, Duty: d})
		end()
		if err != nil || !r.OK {
			return
		}
	}
	n.known.Store(true)
}

// acts carries out what the holder says. The lock is held.
func (n *Instance) acts(list []lease.Act) {
	for _, a := range list {
		switch {
		case a.Start != nil:
			n.begin(a.Start)
		case a.Stop != nil:
			if g := n.work[a.Stop.Duty]; g != nil && g.Token == a.Stop.Token {
				n.opt.Log.Warn().Str("duty", g.Duty).Uint64("token", g.Token).Msg("owner: stopped, as the lease has run out or is another's")
				g.end()
				delete(n.work, g.Duty)
			}
		case a.Let != nil:
			go n.tellReleased(a.Let.Duty, a.Let.Token)
		case a.Finish != nil:
			if g := n.work[a.Finish.Duty]; g != nil {
				g.finish()
			}
		}
	}
}

func (g *Grant) finish() { g.once.Do(func() { close(g.letGo) }) }

func (n *Instance) begin(h *lease.Hold) {
	job := n.opt.Jobs[h.Duty]
	if job == nil {
		return
	}
	g := &Grant{Duty: h.Duty, Token: h.Token, Data: h.Data, n: n, letGo: make(chan struct{})}
	g.ctx, g.end = context.WithCancel(context.Background())
	if h.LetGo {
		g.finish()
	}
	n.work[h.Duty] = g
	n.opt.Log.Info().Str("duty", g.Duty).Uint64("token", g.Token).Msg("owner: this instance has the duty")
	n.workers.Add(1)
	go n.labour(g, job())
}

// labour works until the grant ends, or until it is asked to let go and the step at hand is done.
func (n *Instance) labour(g *Grant, job Job) {
	defer n.workers.Done()
	defer g.end()
	bad := ""
	for {
		select {
		case <-g.letGo:
			n.release(g)
			return
		default:
		}
		if g.ctx.Err() != nil {
			return
		}
		again, err := job.Step(g.ctx, g)
		if !g.May() {
			n.Late.Add(1)
		}
		switch {
		case err == nil:
			bad = ""
		case errors.Is(err, fence.ErrOld) || errors.Is(err, ErrLost):
			n.opt.Log.Warn().Str("duty", g.Duty).Uint64("token", g.Token).Err(err).Msg("owner: an old token was refused")
			n.drop(g)
			return
		default:
			again = max(again, n.every())
			if text := err.Error(); text != bad && g.ctx.Err() == nil {
				bad = text
				n.opt.Log.Warn().Str("duty", g.Duty).Err(err).Msg("owner: a step failed; it is tried again")
			}
		}
		select {
		case <-g.ctx.Done():
			return
		case <-g.letGo:
		case <-time.After(again):
		}
	}
}

// drop lets go of a grant that is another's.
func (n *Instance) drop(g *Grant) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.work[g.Duty] == g {
		delete(n.work, g.Duty)
		n.holder.Released(g.Duty)
	}
}

// release lets go by itself: first here, then at the voters.
func (n *Instance) release(g *Grant) {
	n.drop(g)
	n.opt.Log.Info().Str("duty", g.Duty).Uint64("token", g.Token).Msg("owner: let go")
	n.tellReleased(g.Duty, g.Token)
}

// tellReleased says so to the voters. Where it is lost, their next answer brings it about again.
func (n *Instance) tellReleased(duty string, token uint64) {
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	n.do(ctx, lease.Command{Kind: lease.Release, Duty: duty, Token: token})
}

func (n *Instance) do(ctx context.Context, c lease.Command) (transport.Done, error) {
	peers := map[string]*transport.Peer{}
	for i, name := range n.names {
		peers[name] = n.peers[i]
	}
	n.lock.Lock()
	first := n.names[n.at]
	n.lock.Unlock()
	return transport.Lead(ctx, peers, first, c)
}

// May tells whether something may be begun now. A pause may come between this and the act: the receiver's fence is what counts.
func (g *Grant) May() bool {
	g.n.lock.Lock()
	defer g.n.lock.Unlock()
	token, may := g.n.holder.May(voter.Now(), g.Duty)
	return may && token == g.Token && g.n.work[g.Duty] == g
}

// Effect is one of this grant's.
func (g *Grant) Effect(key string, body []byte) fence.Effect {
	return fence.Effect{Duty: g.Duty, Token: g.Token, Key: key, Body: body}
}

// Progress has the voters keep how far the work has come. The same said twice does no harm, so it is said until somebody
// answers or the grant ends.
func (g *Grant) Progress(ctx context.Context, data []byte) error {
	g.words++
	for {
		within, end := context.WithTimeout(ctx, time.Duration(g.n.opt.Rules.Say()*1e6))
		d, err := g.n.do(within, lease.Command{Kind: lease.Progress, Duty: g.Duty, Token: g.Token, Data: data, Word: g.words})
		end()
		switch {
		case err == nil && d.OK:
			g.Data = data
			return nil
		case err == nil && d.Known:
			return fmt.Errorf("%w: %s", ErrLost, d.Why)
		case ctx.Err() != nil:
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(g.n.every() / 2):
		}
	}
}

// Holds gives what is held now.
func (n *Instance) Holds() map[string]uint64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	list := map[string]uint64{}
	for _, h := range n.holder.Holds() {
		list[h.Duty] = h.Token
	}
	return list
}

// Close hands over what is held: each duty ends its step and is let go, within a time; then nothing is asked any more.
func (n *Instance) Close(within time.Duration) {
	close(n.quit) // nothing more is granted
	n.lock.Lock()
	for _, g := range n.work {
		g.finish()
	}
	n.lock.Unlock()
	done := make(chan struct{})
	go func() {
		n.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
	n.lock.Lock()
	for _, g := range n.work {
		g.end()
	}
	n.lock.Unlock()
	select {
	case <-n.ended:
	case <-time.After(within):
	}
	for _, p := range n.peers {
		p.Close()
	}
}
