package lease

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Lessor tracks on the leading voter when leases expire, which instances are alive and which roles
// are in backoff after a failure. This data is not replicated and is lost with leadership. A new
// leader knows no earlier renewals, so it assumes that each lease was renewed just before it
// became the leader.
type Lessor struct {
	config        Config
	state         *State
	leadingSince  float64 // ms on this voter's clock, as all times below
	isLeader      bool
	expiries      map[string]expiry          // by role
	lastRequestAt map[string]float64         // by instance
	eligibleRoles map[string][]string        // by instance; nil: all roles
	progressSeen  map[string]progressVersion // by role
	notBefore     map[string]float64         // by role: earliest time of the next grant
	proposed      map[string]string          // by role: kind and token of the latest proposed command
	proposedAt    map[string]float64         // by role: when that command was proposed
	handoverSince map[string]float64         // by role: since when its holder has been asked to release it
	lastExpired   map[string]expiredLease    // by role
}

// expiry is the time at which the lease of a token expires.
type expiry struct {
	token     uint64
	expiresAt float64 // ms on the lessor's clock
}

// expiredLease is the lease of a role that expired last.
type expiredLease struct {
	instance  string
	token     uint64
	expiredAt float64 // ms on the lessor's clock
}

// progressVersion records when this lessor first saw a role's current progress.
type progressVersion struct {
	index  uint64  // log index at which the progress was written
	seenAt float64 // ms on the lessor's clock
}

// maxTrackedInstances is the number of instances above which RecordRequest drops those that have
// stopped sending requests.
const maxTrackedInstances = 10000

// NewLessor returns a Lessor for the state's roles. It is a follower until BecomeLeader is called.
func NewLessor(config Config, state *State) *Lessor { return &Lessor{config: config, state: state} }

// BecomeLeader makes this lessor the leader. The previous leader may have renewed any lease just
// before now, so every lease is assumed to run for a full lessor span from now on.
func (l *Lessor) BecomeLeader(now float64) {
	*l = Lessor{
		config:        l.config,
		state:         l.state,
		leadingSince:  now,
		isLeader:      true,
		expiries:      map[string]expiry{},
		lastRequestAt: map[string]float64{},
		eligibleRoles: map[string][]string{},
		progressSeen:  map[string]progressVersion{},
		notBefore:     map[string]float64{},
		proposed:      map[string]string{},
		proposedAt:    map[string]float64{},
		handoverSince: map[string]float64{},
		lastExpired:   map[string]expiredLease{},
	}
	for _, name := range l.state.RoleNames() {
		role := l.state.Roles[name]
		if role.Holder != "" {
			span := l.config.lessorSpanMs()
			if mutantSkipLeaderWait {
				span = 0
			}
			l.expiries[name] = expiry{role.Token, now + span}
		} else if role.HolderFailures > 0 {
			l.notBefore[name] = now + l.failureBackoff(role.HolderFailures)
		}
	}
}

// BecomeFollower makes this lessor a follower, which neither grants nor renews leases.
func (l *Lessor) BecomeFollower() { l.isLeader = false }

// IsLeader reports whether this lessor is the leader.
func (l *Lessor) IsLeader() bool { return l.isLeader }

// failureBackoff returns how long a role must not be granted after the given number of consecutive
// failures, in ms.
func (l *Lessor) failureBackoff(failures int) float64 {
	backoff := l.config.FailureBackoffMs
	for n := 1; n < failures && backoff < l.config.MaxFailureBackoffMs; n++ {
		backoff *= 2
	}
	return min(backoff, l.config.MaxFailureBackoffMs)
}

// RecordRequest records that an instance is alive, and for which roles it is eligible (nil: all).
// The caller must first have a quorum confirm, after the request arrived, that this voter is still
// the leader.
func (l *Lessor) RecordRequest(now float64, instance string, eligible []string) {
	if !l.isLeader {
		return
	}
	l.lastRequestAt[instance] = now
	l.eligibleRoles[instance] = eligible
	if len(l.lastRequestAt) <= maxTrackedInstances {
		return
	}
	for name, requestedAt := range l.lastRequestAt {
		if now-requestedAt > 2*l.config.LeaseMs {
			delete(l.lastRequestAt, name)
			delete(l.eligibleRoles, name)
		}
	}
}

// Renew extends the lease of a role's latest token, under the same condition as RecordRequest.
// release reports whether the holder has to finish its step and release the role: a role that is
// reserved for another instance is renewed for Config.HandoverMs at most.
func (l *Lessor) Renew(now float64, name string, token uint64, instance string) (renewed, release bool) {
	role := l.state.Roles[name]
	if !l.isLeader || role == nil || role.Holder != instance || role.Token != token {
		return false, false
	}
	current, known := l.expiries[name]
	if known && current.token == token && now >= current.expiresAt && !mutantRenewExpired {
		return false, false // the command that ends it may be in the log already
	}
	if role.NextHolder != "" && role.NextHolder != instance {
		release = true
		since, inHandover := l.handoverSince[name]
		if !inHandover {
			l.handoverSince[name], since = now, now
		}
		if now-since > l.config.HandoverMs {
			return false, true // the holder did not release the role in time: let the lease expire
		}
	} else {
		delete(l.handoverSince, name)
	}
	l.expiries[name] = expiry{token, now + l.config.lessorSpanMs()}
	return true, release
}

// DueCommands returns the commands to propose now: those that end expired leases, forgive
// failures, and grant free roles to live instances. Roles are assigned by rendezvous hashing, so
// that few of them move when instances join or leave; a held role is not moved.
func (l *Lessor) DueCommands(now float64) (due []Command) {
	if !l.isLeader {
		return nil
	}
	alive := l.aliveInstances(now)
	add := func(c Command, isDue bool) {
		if isDue {
			due = append(due, c)
		}
	}
	for _, name := range l.state.RoleNames() {
		role := l.state.Roles[name]
		if role.Holder != "" {
			add(l.expire(now, role))
			continue
		}
		delete(l.expiries, name)
		delete(l.handoverSince, name)
		add(l.forgive(now, role))
		add(l.grant(now, role, alive))
	}
	return due
}

// aliveInstances returns the instances that sent a request within the last lease duration, sorted.
func (l *Lessor) aliveInstances(now float64) []string {
	alive := make([]string, 0, len(l.lastRequestAt))
	for instance, requestedAt := range l.lastRequestAt {
		if now-requestedAt <= l.config.LeaseMs {
			alive = append(alive, instance)
		}
	}
	sort.Strings(alive)
	return alive
}

// expire proposes to end a held role's grant once its lease has expired.
func (l *Lessor) expire(now float64, role *Role) (Command, bool) {
	current, known := l.expiries[role.Name]
	if !known || current.token != role.Token { // granted since the last call
		current = expiry{role.Token, now + l.config.lessorSpanMs()}
		l.expiries[role.Name] = current
	}
	if now < current.expiresAt {
		return Command{}, false
	}
	c, due := l.propose(now, Command{Kind: CommandExpire, Role: role.Name, Token: role.Token})
	if !due {
		return c, false
	}
	l.notBefore[role.Name] = now + l.failureBackoff(role.HolderFailures+1)
	if l.lastExpired[role.Name].token != role.Token {
		l.lastExpired[role.Name] = expiredLease{role.Holder, role.Token, now}
	}
	return c, true
}

// forgive proposes to undo a counted failure if the former holder, in the same incarnation, sends
// requests again before the backoff ends. The role's work did not crash it then: only the network
// or its machine was slow. A holder that returns later may have hung in the work itself.
func (l *Lessor) forgive(now float64, role *Role) (Command, bool) {
	last := l.lastExpired[role.Name]
	backedOff := role.HolderFailures > 0 && now < l.notBefore[role.Name]
	if last.token != role.Token || !backedOff || l.lastRequestAt[last.instance] <= last.expiredAt {
		return Command{}, false
	}
	c, due := l.propose(now, Command{Kind: CommandForgive, Role: role.Name, Token: role.Token, Target: last.instance})
	if !due {
		return c, false
	}
	l.notBefore[role.Name] = 0
	if role.HolderFailures > 1 {
		l.notBefore[role.Name] = last.expiredAt + l.failureBackoff(role.HolderFailures-1)
	}
	return c, true
}

// grant proposes to grant a free role to a live instance, unless the role is in backoff.
func (l *Lessor) grant(now float64, role *Role, alive []string) (Command, bool) {
	backedOff := role.HolderFailures > 0 && !role.Revoked && now < l.notBefore[role.Name]
	if backedOff || len(alive) == 0 {
		return Command{}, false
	}
	if role.NextHolder != "" {
		return l.grantReserved(now, role)
	}
	target := PreferredInstance(role.Name, l.eligibleInstances(role.Name, alive))
	if target == "" {
		return Command{}, false
	}
	return l.propose(now, Command{Kind: CommandGrant, Role: role.Name, Token: role.Token, Target: target})
}

// grantReserved proposes to grant a reserved role to its next holder if that instance is alive.
// If it has sent no request for Config.HandoverMs, counted from the start of this leader's term at
// the earliest, grantReserved proposes to lift the reservation.
func (l *Lessor) grantReserved(now float64, role *Role) (Command, bool) {
	requestedAt, known := l.lastRequestAt[role.NextHolder]
	if known && now-requestedAt <= l.config.LeaseMs {
		return l.propose(now, Command{Kind: CommandGrant, Role: role.Name, Token: role.Token, Target: role.NextHolder})
	}
	absent := !known || now-requestedAt > l.config.HandoverMs
	if now-l.leadingSince <= l.config.HandoverMs || !absent {
		return Command{}, false
	}
	return l.propose(now, Command{Kind: CommandTransfer, Role: role.Name, Token: role.Token})
}

// eligibleInstances returns those of the given instances that are eligible for a role, in the
// given order.
func (l *Lessor) eligibleInstances(role string, instances []string) []string {
	var eligible []string
	for _, instance := range instances {
		roles := l.eligibleRoles[instance]
		if roles == nil || slices.Contains(roles, role) {
			eligible = append(eligible, instance)
		}
	}
	return eligible
}

// propose returns the command and whether to propose it now: not if it is already in flight.
func (l *Lessor) propose(now float64, c Command) (Command, bool) {
	if !l.shouldPropose(now, c.Kind, c.Role, c.Token) {
		return Command{}, false
	}
	return c, true
}

// shouldPropose reports whether to propose a command now, and records it if so. A command with the
// same kind and token as the role's latest proposal is held back for the duration of a lease, and
// is then proposed again because the first may have been lost. The kind is part of the comparison:
// when a grant also had to wait for the preceding expiry command, each takeover took one lease
// longer.
func (l *Lessor) shouldPropose(now float64, kind CommandKind, role string, token uint64) bool {
	key := fmt.Sprint(kind, token)
	if l.proposed[role] == key && now-l.proposedAt[role] < l.config.LeaseMs {
		return false
	}
	l.proposed[role], l.proposedAt[role] = key, now
	return true
}

// PreferredInstance returns the instance to which rendezvous hashing assigns a role, or "" if
// there are no instances.
func PreferredInstance(role string, instances []string) (preferred string) {
	maxWeight := uint64(0)
	for _, instance := range instances {
		weight := xxhash.Sum64String(role + "\x00" + instance)
		better := weight > maxWeight || weight == maxWeight && instance < preferred
		if preferred == "" || better {
			preferred, maxWeight = instance, weight
		}
	}
	return preferred
}

// ProgressAge returns how long a role's progress has been unchanged, in ms, as far as this leader
// knows. Progress from before this leader's term may have been written up to one lease before the
// term began, and is counted as that old. The age of an unknown role is infinite.
func (l *Lessor) ProgressAge(now float64, name string) float64 {
	role := l.state.Roles[name]
	if role == nil {
		return math.Inf(1)
	}
	version, known := l.progressSeen[name]
	switch {
	case !known:
		version = progressVersion{role.ProgressIndex, l.leadingSince - l.config.LeaseMs}
	case version.index != role.ProgressIndex:
		version = progressVersion{role.ProgressIndex, now}
	}
	l.progressSeen[name] = version
	return now - version.seenAt
}

// RequestAges returns the time since each instance's latest request, in ms.
func (l *Lessor) RequestAges(now float64) map[string]float64 {
	ages := map[string]float64{}
	for instance, requestedAt := range l.lastRequestAt {
		ages[instance] = now - requestedAt
	}
	return ages
}

// Expiries returns the time at which each role's lease expires, in ms on this lessor's clock.
func (l *Lessor) Expiries() map[string]float64 {
	expiries := map[string]float64{}
	for role, current := range l.expiries {
		expiries[role] = current.expiresAt
	}
	return expiries
}
