// Package lease says who does the fleet's work: each duty has one owner at a time, named by a grant with a token. Tokens rise
// strictly for ever. A lease says who may begin; only the token, checked by the receiver in the same step as the effect, says
// what counts (package fence).
//
// Three reducers, none of which reads a clock: State is what all voters agree on, changed by commands alone; Grantor is the
// leading voter's view of time, from which commands come; Holder is an instance's view of what it owns. Whatever time means
// is handed in by steady clocks, one for each process, that may drift by a stated share and stand still.
package lease

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Role is a piece of the fleet's work.
type Role struct {
	Name           string `json:"name"`
	Holder         string `json:"owner,omitempty"` // an instance's life; none: nobody's
	Token          uint64 `json:"token"`           // of the latest grant
	NextHolder     string `json:"next,omitempty"`  // who is to have it, once its owner has let go
	Progress       []byte `json:"data,omitempty"`  // how far the work has come; only the owner's token may change it
	ProgressToken  uint64 `json:"written"`         // the token under which Data was written
	ProgressIndex  uint64 `json:"changed"`         // the index at which
	ProgressSeq    uint64 `json:"word"`            // the number of the owner's latest word under its token
	HolderFailures int    `json:"deaths"`          // owners that ended while they held it, since one got on with it
	Forced         bool   `json:"forced,omitempty"`
}

// Event is a line of a duty's history.
type Event struct {
	Index    uint64 `json:"index"`
	Role     string `json:"duty"`
	Kind     string `json:"what"`
	Instance string `json:"who,omitempty"`
	Token    uint64 `json:"token"`
}

// State is what voters agree on. It is a function of the commands alone.
type State struct {
	NextToken    uint64            `json:"next"`   // the token to be given next
	VoterNames   map[uint64]string `json:"voters"` // who a voter's number belongs to; each disk has a number of its own
	Roles        map[string]*Role  `json:"duties"`
	History      []Event           `json:"history"`
	AppliedIndex uint64            `json:"index"` // of the latest command
}

const (
	maxHistory       = 1000
	maxRoles         = 200
	maxProgressBytes = 16 << 10 // all of it goes over in one snapshot
	maxVoterNames    = 1000
)

// NewState knows no duty.
func NewState() *State {
	return &State{NextToken: 1, VoterNames: map[uint64]string{}, Roles: map[string]*Role{}}
}

// CommandKind is what a command does.
type CommandKind string

const (
	CommandGrant     CommandKind = "grant"    // To becomes the owner of a duty that is nobody's
	CommandExpire    CommandKind = "expire"   // the lease of Token has run out
	CommandRelease   CommandKind = "release"  // the owner lets go
	CommandProgress  CommandKind = "progress" // the owner got on: Data
	CommandTransfer  CommandKind = "move"     // To is to be the next owner; nobody: whoever asks
	CommandRevoke    CommandKind = "force"    // an operator takes it from its owner at once
	CommandDefine    CommandKind = "define"   // a duty is known
	CommandForgive   CommandKind = "spare"    // To, whose lease of Token ran out, is there again: it was not its duty's death
	CommandNameVoter CommandKind = "seat"     // the number Token is the voter To's
)

// Command is what is agreed on, one after another.
type Command struct {
	Kind        CommandKind `json:"kind"`
	Role        string      `json:"duty"`
	Token       uint64      `json:"token,omitempty"` // that the giver of the command has seen
	Target      string      `json:"to,omitempty"`
	Progress    []byte      `json:"data,omitempty"`
	ID          string      `json:"id,omitempty"`   // for whoever waits for the result
	ProgressSeq uint64      `json:"word,omitempty"` // of a progress: it rises under a token
}

// Result is what became of a command.
type Result struct {
	CommandID string
	Index     uint64
	OK        bool
	Reason    string
	Role      Role
}

// Why a command is refused: of an old owner, or held up until a later word of the same one was there.
const (
	ReasonStaleToken    = "the token is not the latest"
	ReasonStaleProgress = "a later word of the owner's is there"
)

// Encode writes a command for the log.
func (c Command) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and bytes alone
	}
	return b
}

// Apply changes the state by one command of the log. An empty one, as elections leave behind, changes nothing. What can't be
// read is refused by all alike.
func (s *State) Apply(index uint64, text []byte) Result {
	s.AppliedIndex = index
	if len(text) == 0 {
		return Result{Index: index, OK: true}
	}
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return Result{Index: index, Reason: "no command"}
	}
	r := Result{CommandID: c.ID, Index: index}
	if c.Kind == CommandNameVoter {
		if r.OK = c.Target != "" && len(c.Target) <= 256 && c.Token > 0 && len(s.VoterNames) < maxVoterNames; r.OK {
			s.VoterNames[c.Token] = c.Target
		}
		return r
	}
	if len(c.Role) == 0 || len(c.Role) > 128 || len(c.Target) > 256 || len(c.Progress) > maxProgressBytes {
		r.Reason = "a name or data too long"
		return r
	}
	d := s.Roles[c.Role]
	if d == nil {
		if c.Kind != CommandDefine && c.Kind != CommandGrant || len(s.Roles) >= maxRoles {
			r.Reason = "no such duty"
			return r
		}
		d = &Role{Name: c.Role}
		s.Roles[c.Role] = d
	}
	r.OK = true
	refuse := func(why string) {
		r.OK, r.Reason = false, why
	}
	note := func(what, who string) {
		s.History = append(s.History, Event{index, d.Name, what, who, d.Token})
		if len(s.History) > maxHistory {
			s.History = append(s.History[:0], s.History[len(s.History)-maxHistory:]...)
		}
	}
	switch c.Kind {
	case CommandDefine:
	case CommandGrant:
		switch {
		case d.Holder != "":
			refuse("it has an owner")
		case c.Target == "":
			refuse("nobody is named")
		case c.Token != d.Token:
			refuse(ReasonStaleToken) // it was granted and lost since this command was given
		case d.NextHolder != "" && d.NextHolder != c.Target:
			refuse("it is kept for " + d.NextHolder)
		default:
			d.Holder, d.NextHolder, d.Forced = c.Target, "", false
			if !plantReuse {
				d.Token = s.NextToken
				s.NextToken++
			}
			note("granted", c.Target)
		}
	case CommandExpire, CommandRelease, CommandRevoke:
		if c.Token != d.Token || d.Holder == "" {
			refuse(ReasonStaleToken)
			break
		}
		who := d.Holder
		d.Holder = ""
		switch c.Kind {
		case CommandExpire:
			d.HolderFailures++
			note("expired", who)
		case CommandRelease:
			note("released", who)
		case CommandRevoke:
			d.Forced, d.NextHolder = true, c.Target
			note("forced", who)
		}
	case CommandProgress:
		if c.Token != d.Token && !plantOldProgress || d.Holder == "" && !plantOldProgress {
			refuse(ReasonStaleToken)
			break
		}
		if c.Token == d.ProgressToken && c.ProgressSeq < d.ProgressSeq && !plantOldWord {
			refuse(ReasonStaleProgress)
			break
		}
		d.Progress, d.ProgressToken, d.ProgressIndex, d.ProgressSeq, d.HolderFailures = c.Progress, c.Token, index, c.ProgressSeq, 0
	case CommandForgive:
		if c.Token != d.Token || d.Holder != "" || d.HolderFailures == 0 {
			refuse(ReasonStaleToken) // the next one has it already, and what it may have died of is the next one's affair
			break
		}
		d.HolderFailures--
		note("spared", c.Target)
	case CommandTransfer:
		if c.Token != d.Token {
			refuse(ReasonStaleToken) // two operators do not undo each other
			break
		}
		d.NextHolder = c.Target
		note("to move", c.Target)
	default:
		refuse("no such command")
	}
	r.Role = *d
	return r
}

// Snapshot writes the state; Restore reads it.
func (s *State) Snapshot() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// Restore takes a snapshot's state in place of this one's.
func (s *State) Restore(b []byte) error {
	next := NewState()
	if err := json.Unmarshal(b, next); err != nil {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	*s = *next
	return nil
}

// RoleNames gives the duties in order.
func (s *State) RoleNames() []string {
	list := make([]string, 0, len(s.Roles))
	for n := range s.Roles {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

// Config are times, in ms, and the drift that steady clocks may have against each other, as a share.
type Config struct {
	LeaseMs             float64
	MaxDrift            float64
	HandoverMs          float64 // how long an owner may take to let go after it was asked to
	FailureBackoffMs    float64 // a duty that killed its owner is held back for so long, doubled for each
	MaxFailureBackoffMs float64
}

// DefaultConfig are the rules where a file names none.
var DefaultConfig = Config{LeaseMs: 3000, MaxDrift: 0.02, HandoverMs: 15000, FailureBackoffMs: 2000, MaxFailureBackoffMs: 300000}

// ConfigForLease gives the rules for a lease of an operator's choice.
func ConfigForLease(lease float64) Config {
	r := DefaultConfig
	r.LeaseMs, r.HandoverMs, r.FailureBackoffMs = lease, 5*lease, lease
	return r
}

// PollIntervalMs is how often an instance asks: so that some of its questions may be lost within a lease.
func (r Config) PollIntervalMs() float64 { return r.LeaseMs / 6 }

// RequestTimeoutMs is for how long it waits for an answer before it asks another voter, so that there is time left for that.
func (r Config) RequestTimeoutMs() float64 { return r.LeaseMs / 4 }

// ProgressTimeoutMs is for how long an owner waits for its word to be agreed on before it says it again.
func (r Config) ProgressTimeoutMs() float64 { return r.LeaseMs / 2 }

// TickIntervalMs is a beat of a voter's clock, 100 ms at most: with short leases elections have to be over well within a few of them.
func (r Config) TickIntervalMs() float64 { return min(100, r.LeaseMs/15) }

// Lessor is the leading voter's view: whose leases run, who is there, what is held back. All of it is lost with leadership,
// and a new leader assumes the longest of everything.
type Lessor struct {
	config        Config
	state         *State
	leadingSince  float64 // when this voter began to lead
	isLeader      bool
	expiries      map[string]expiry
	lastRequestAt map[string]float64 // by instance: when it last asked
	eligibleRoles map[string][]string
	progressSeen  map[string]progressVersion // by duty: when its data was seen to change
	notBefore     map[string]float64         // by duty: not before
	proposed      map[string]string          // by duty: the command that is on its way, by kind and token
	proposedAt    map[string]float64
	handoverSince map[string]float64      // by duty: since when its owner is asked to let go
	lastExpired   map[string]expiredLease // by duty: whose lease ran out last
}

type expiredLease struct {
	instance  string
	token     uint64
	expiredAt float64
}

type expiry struct {
	token     uint64
	expiresAt float64
}

// progressVersion is a duty's data as it was last seen to change.
type progressVersion struct {
	index  uint64
	seenAt float64
}

// ProgressAge is for how long a duty's data has stood, in ms, as far as this leader can know: of what was there when it began to lead
// it knows no better than that it may have been written a lease before.
func (g *Lessor) ProgressAge(now float64, duty string) float64 {
	d := g.state.Roles[duty]
	if d == nil {
		return math.Inf(1)
	}
	w, known := g.progressSeen[duty]
	switch {
	case !known:
		w = progressVersion{d.ProgressIndex, g.leadingSince - g.config.LeaseMs}
	case w.index != d.ProgressIndex:
		w = progressVersion{d.ProgressIndex, now}
	}
	g.progressSeen[duty] = w
	return now - w.seenAt
}

// NewLessor watches a state.
func NewLessor(rules Config, state *State) *Lessor { return &Lessor{config: rules, state: state} }

// BecomeLeader begins, at a time, with nothing known of leases: each may have been renewed just now.
func (g *Lessor) BecomeLeader(now float64) {
	*g = Lessor{config: g.config, state: g.state, leadingSince: now, isLeader: true, expiries: map[string]expiry{}, lastRequestAt: map[string]float64{},
		eligibleRoles: map[string][]string{}, progressSeen: map[string]progressVersion{},
		notBefore: map[string]float64{}, proposed: map[string]string{}, proposedAt: map[string]float64{}, handoverSince: map[string]float64{}, lastExpired: map[string]expiredLease{}}
	for _, name := range g.state.RoleNames() {
		d := g.state.Roles[name]
		if d.Holder != "" {
			wait := g.config.LeaseMs * (1 + g.config.MaxDrift)
			if plantNoWait {
				wait = 0
			}
			g.expiries[name] = expiry{d.Token, now + wait}
		} else if d.HolderFailures > 0 {
			g.notBefore[name] = now + g.failureBackoff(d.HolderFailures)
		}
	}
}

// BecomeFollower ends it: nothing is granted or renewed by this voter.
func (g *Lessor) BecomeFollower() { g.isLeader = false }

// IsLeader tells whether this voter leads.
func (g *Lessor) IsLeader() bool { return g.isLeader }

func (g *Lessor) failureBackoff(deaths int) float64 {
	wait := g.config.FailureBackoffMs
	for n := 1; n < deaths && wait < g.config.MaxFailureBackoffMs; n++ {
		wait *= 2
	}
	return min(wait, g.config.MaxFailureBackoffMs)
}

// RecordRequest: an instance's life asks for duties, or says that it is still there. Only a leader whose lead a quorum has confirmed
// since the question came may pass it on here. can: the duties that it can do; nil: all.
func (g *Lessor) RecordRequest(now float64, instance string, can []string) {
	if g.isLeader {
		g.lastRequestAt[instance] = now
		g.eligibleRoles[instance] = can
		if len(g.lastRequestAt) > 10000 {
			for who, at := range g.lastRequestAt {
				if now-at > 2*g.config.LeaseMs {
					delete(g.lastRequestAt, who)
					delete(g.eligibleRoles, who)
				}
			}
		}
	}
}

// Renew extends a lease, confirmed like Asked. letGo: the owner is to end and release. Only the latest token's is extended,
// and not without end once it is to move.
func (g *Lessor) Renew(now float64, duty string, token uint64, instance string) (ok, letGo bool) {
	d := g.state.Roles[duty]
	if !g.isLeader || d == nil || d.Holder != instance || d.Token != token {
		return false, false
	}
	if l, known := g.expiries[duty]; known && l.token == token && now >= l.expiresAt && !plantRevive {
		return false, false // its end may be on its way through the log already
	}
	if d.NextHolder != "" && d.NextHolder != instance {
		since, asked := g.handoverSince[duty]
		if !asked {
			g.handoverSince[duty], since = now, now
		}
		if letGo = true; now-since > g.config.HandoverMs {
			return false, true // asked for long enough: its lease runs out
		}
	} else {
		delete(g.handoverSince, duty)
	}
	g.expiries[duty] = expiry{token, now + g.config.LeaseMs*(1+g.config.MaxDrift)}
	return true, letGo
}

// shouldPropose keeps one command of a kind on its way for each duty and token, and gives it again where it was lost. Of a kind: a grant
// that waited for the expiry before it to be old made each take-over longer by a lease.
func (g *Lessor) shouldPropose(now float64, kind CommandKind, duty string, token uint64) bool {
	what := fmt.Sprint(kind, token)
	if g.proposed[duty] == what && now-g.proposedAt[duty] < g.config.LeaseMs {
		return false
	}
	g.proposed[duty], g.proposedAt[duty] = what, now
	return true
}

// DueCommands gives the commands that are due: leases that have run out, and duties that are nobody's to who is there. Duties are
// spread by rendezvous hashing, so that few move when instances come and go; what is owned stays where it is.
func (g *Lessor) DueCommands(now float64) (list []Command) {
	if !g.isLeader {
		return nil
	}
	alive := make([]string, 0, len(g.lastRequestAt))
	for who, at := range g.lastRequestAt {
		if now-at <= g.config.LeaseMs {
			alive = append(alive, who)
		}
	}
	sort.Strings(alive)
	for _, name := range g.state.RoleNames() {
		d := g.state.Roles[name]
		if d.Holder != "" {
			l, known := g.expiries[name]
			if !known || l.token != d.Token {
				l = expiry{d.Token, now + g.config.LeaseMs*(1+g.config.MaxDrift)} // just granted
				g.expiries[name] = l
			}
			if now >= l.expiresAt && g.shouldPropose(now, CommandExpire, name, d.Token) {
				list = append(list, Command{Kind: CommandExpire, Role: name, Token: d.Token})
				g.notBefore[name] = now + g.failureBackoff(d.HolderFailures+1)
				if g.lastExpired[name].token != d.Token {
					g.lastExpired[name] = expiredLease{d.Holder, d.Token, now}
				}
			}
			continue
		}
		delete(g.expiries, name)
		delete(g.handoverSince, name)
		// Who asks again under the same life, within the time for which its duty is held back, was not killed by it: only the way
		// to the voters was bad, or this machine was slow. One that comes back later may have hung in its work.
		if r := g.lastExpired[name]; r.token == d.Token && d.HolderFailures > 0 && now < g.notBefore[name] && g.lastRequestAt[r.instance] > r.expiredAt && g.shouldPropose(now, CommandForgive, name, d.Token) {
			list = append(list, Command{Kind: CommandForgive, Role: name, Token: d.Token, Target: r.instance})
			if g.notBefore[name] = 0; d.HolderFailures > 1 {
				g.notBefore[name] = r.expiredAt + g.failureBackoff(d.HolderFailures-1)
			}
		}
		if now < g.notBefore[name] && d.HolderFailures > 0 && !d.Forced || len(alive) == 0 {
			continue
		}
		to := d.NextHolder
		if to != "" {
			at, seen := g.lastRequestAt[to]
			if !seen || now-at > g.config.LeaseMs {
				// Who it is kept for is not there: after a while it is anybody's.
				if now-g.leadingSince > g.config.HandoverMs && (!seen || now-at > g.config.HandoverMs) && g.shouldPropose(now, CommandTransfer, name, d.Token) {
					list = append(list, Command{Kind: CommandTransfer, Role: name, Token: d.Token})
				}
				continue
			}
		} else {
			able := alive[:0:0]
			for _, who := range alive {
				if can := g.eligibleRoles[who]; can == nil || slices.Contains(can, name) {
					able = append(able, who)
				}
			}
			if to = PreferredInstance(name, able); to == "" {
				continue
			}
		}
		if g.shouldPropose(now, CommandGrant, name, d.Token) {
			list = append(list, Command{Kind: CommandGrant, Role: name, Token: d.Token, Target: to})
		}
	}
	return list
}

// PreferredInstance gives the instance that a duty falls to among some.
func PreferredInstance(duty string, among []string) (best string) {
	top := uint64(0)
	for _, who := range among {
		if h := xxhash.Sum64String(duty + "\x00" + who); best == "" || h > top || h == top && who < best {
			best, top = who, h
		}
	}
	return best
}

// RequestAges tells how long ago each instance last asked, in ms.
func (g *Lessor) RequestAges(now float64) map[string]float64 {
	list := map[string]float64{}
	for who, at := range g.lastRequestAt {
		list[who] = now - at
	}
	return list
}

// Expiries tells until when the leader lets each lease run, for operators.
func (g *Lessor) Expiries() map[string]float64 {
	list := map[string]float64{}
	for n, l := range g.expiries {
		list[n] = l.expiresAt
	}
	return list
}
