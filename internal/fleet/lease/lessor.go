package lease

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Lessor is the leading voter's view of time: which leases run, which instances are alive, which
// roles back off after a failure. All of it is lost with leadership. A new leader knows nothing
// of earlier renewals, and so assumes that each lease was renewed just before it began to lead.
type Lessor struct {
	config        Config
	state         *State
	leadingSince  float64
	isLeader      bool
	expiries      map[string]expiry          // by role
	lastRequestAt map[string]float64         // by instance
	eligibleRoles map[string][]string        // by instance; nil: all
	progressSeen  map[string]progressVersion // by role
	notBefore     map[string]float64         // by role: earliest time of the next grant
	proposed      map[string]string          // by role: kind and token of the command in flight
	proposedAt    map[string]float64         // by role
	handoverSince map[string]float64         // by role: since when its holder is asked to release it
	lastExpired   map[string]expiredLease    // by role
}

// expiry is when the lease of a token runs out, on the lessor's clock.
type expiry struct {
	token     uint64
	expiresAt float64
}

// expiredLease is the latest lease of a role that ran out.
type expiredLease struct {
	instance  string
	token     uint64
	expiredAt float64
}

// progressVersion is a role's progress as it was last seen to change.
type progressVersion struct {
	index  uint64
	seenAt float64
}

// maxTrackedInstances bounds the instances that are remembered before stale ones are dropped.
const maxTrackedInstances = 10000

// NewLessor returns a lessor of the state's roles that does not lead.
func NewLessor(config Config, state *State) *Lessor { return &Lessor{config: config, state: state} }

// BecomeLeader begins to lead. Each running lease may have been renewed just now by the leader
// before, so all of them run for a full span from here.
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
			if mutantNoWait {
				span = 0
			}
			l.expiries[name] = expiry{role.Token, now + span}
		} else if role.HolderFailures > 0 {
			l.notBefore[name] = now + l.failureBackoff(role.HolderFailures)
		}
	}
}

// BecomeFollower ends the lead: this voter grants and renews nothing any more.
func (l *Lessor) BecomeFollower() { l.isLeader = false }

// IsLeader tells whether this lessor leads.
func (l *Lessor) IsLeader() bool { return l.isLeader }

// failureBackoff is how long a role waits for its next grant after so many failures in a row.
func (l *Lessor) failureBackoff(failures int) float64 {
	backoff := l.config.FailureBackoffMs
	for n := 1; n < failures && backoff < l.config.MaxFailureBackoffMs; n++ {
		backoff *= 2
	}
	return min(backoff, l.config.MaxFailureBackoffMs)
}

// RecordRequest records that an instance is alive, and for which roles it is eligible (nil: all).
// The caller passes on only requests after whose arrival a quorum has confirmed the lead.
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
// release tells that the holder is to finish its step and release the role: a reserved role is
// renewed for Config.HandoverMs at most.
func (l *Lessor) Renew(now float64, name string, token uint64, instance string) (renewed, release bool) {
	role := l.state.Roles[name]
	if !l.isLeader || role == nil || role.Holder != instance || role.Token != token {
		return false, false
	}
	current, known := l.expiries[name]
	if known && current.token == token && now >= current.expiresAt && !mutantRevive {
		return false, false // its expiry may be in the log already
	}
	if role.NextHolder != "" && role.NextHolder != instance {
		release = true
		since, inHandover := l.handoverSince[name]
		if !inHandover {
			l.handoverSince[name], since = now, now
		}
		if now-since > l.config.HandoverMs {
			return false, true // asked for long enough: let the lease run out
		}
	} else {
		delete(l.handoverSince, name)
	}
	l.expiries[name] = expiry{token, now + l.config.lessorSpanMs()}
	return true, release
}

// DueCommands returns the commands to propose now: expiries of leases that have run out, and
// grants of free roles to live instances. Roles are placed by rendezvous hashing, so that few
// move when instances come and go; a held role stays where it is.
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

// aliveInstances returns who has sent a request within a lease, sorted.
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

// expire proposes the end of a held role's lease once it has run out.
func (l *Lessor) expire(now float64, role *Role) (Command, bool) {
	current, known := l.expiries[role.Name]
	if !known || current.token != role.Token { // just granted
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

// forgive proposes to take a failure back where the former holder, in the same incarnation, sends
// requests again before the backoff is over: its role did not bring it down, only the network or
// its machine was slow. One that comes back later may have hung in its work.
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

// grant proposes the next holder of a free role, if there is one.
func (l *Lessor) grant(now float64, role *Role, alive []string) (Command, bool) {
	backedOff := role.HolderFailures > 0 && !role.Forced && now < l.notBefore[role.Name]
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

// grantReserved proposes a reserved role's grant while its next holder is alive. Once that one
// has been away for a handover's time, it proposes to lift the reservation.
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

// eligibleInstances returns those of the instances that can do a role, in order.
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

// propose returns a command unless it is in flight already.
func (l *Lessor) propose(now float64, c Command) (Command, bool) {
	if !l.shouldPropose(now, c.Kind, c.Role, c.Token) {
		return Command{}, false
	}
	return c, true
}

// shouldPropose holds a command back while it equals the role's latest, by kind and token, and
// allows it again after a lease, as it may have been lost. Kinds count apart: a grant that waited
// until the expiry before it was old made each take-over longer by a lease.
func (l *Lessor) shouldPropose(now float64, kind CommandKind, role string, token uint64) bool {
	key := fmt.Sprint(kind, token)
	if l.proposed[role] == key && now-l.proposedAt[role] < l.config.LeaseMs {
		return false
	}
	l.proposed[role], l.proposedAt[role] = key, now
	return true
}

// PreferredInstance returns the instance to which rendezvous hashing assigns a role; "" without
// instances.
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

// ProgressAge is for how long a role's progress has been unchanged, in ms, as far as this leader
// knows. Progress older than its lead may have been written up to a lease before it; of an
// unknown role the age is infinite.
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

// RequestAges returns how long ago each instance sent its latest request, in ms.
func (l *Lessor) RequestAges(now float64) map[string]float64 {
	ages := map[string]float64{}
	for instance, requestedAt := range l.lastRequestAt {
		ages[instance] = now - requestedAt
	}
	return ages
}

// Expiries returns until when each role's lease runs, on this lessor's clock.
func (l *Lessor) Expiries() map[string]float64 {
	expiries := map[string]float64{}
	for role, current := range l.expiries {
		expiries[role] = current.expiresAt
	}
	return expiries
}
