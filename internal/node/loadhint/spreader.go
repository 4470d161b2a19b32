package loadhint

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// HintsPerSecond is what a proxy hears at the most. One hint takes some 40 bytes.
const HintsPerSecond = 800

const (
	// collectFor is how long a proxy's hints wait for others to go with them.
	collectFor = 5 * time.Millisecond
	// batchPerTarget times the nodes that a relay sends to is how long it collects, within the bounds below.
	batchPerTarget = time.Millisecond
	leastBatch     = 5 * time.Millisecond
	longestBatch   = 40 * time.Millisecond
	// mostHints bounds the hints of one message that are looked at.
	mostHints = 1024
	// burst is for how long an idle relay saves up what it may pass on.
	burst = 200 * time.Millisecond
)

// Options of a Spreader.
type Options struct {
	SelfID string // node id
	Zone   string
	Random *rand.Rand
	// HintsPerSecond bounds what a relay passes on to each node; 0: the constant of that name.
	HintsPerSecond int
}

// waitingHint is a hint at a relay.
type waitingHint struct {
	hint   *nodepb.LoadHint
	origin string // internal address of the proxy that sent it here; empty: this node, or another relay
	ofZone bool   // it came from this zone, so that the other relays are to hear of it
}

// Spreader is the state machine of one node. It is not safe for concurrent use.
type Spreader struct {
	options Options

	relay   string   // internal address of the zone's relay; empty: this node, or nobody else is there
	proxies []string // at a relay: addresses of the other proxies of the zone
	relays  []string // at a relay: addresses of those of the other zones

	collected   []*nodepb.LoadHint // of this node, for the relay
	collectedAt core.Time          // when they go
	waiting     []waitingHint
	batchAt     core.Time
	allowance   float64 // hints that may be passed on
	allowedAt   core.Time

	outputs []core.Output
}

// New returns a Spreader that knows no other node.
func New(options Options) *Spreader {
	if options.HintsPerSecond <= 0 {
		options.HintsPerSecond = HintsPerSecond
	}
	return &Spreader{
		options: options, collectedAt: core.Never, batchAt: core.Never,
		allowance: float64(options.HintsPerSecond) * burst.Seconds(),
	}
}

// SetMembers tells the nodes that are alive or suspected. This node may be among them.
func (s *Spreader) SetMembers(_ core.Time, members []*nodepb.Member) {
	byZone := map[string][]*nodepb.Member{}
	for _, member := range members {
		if member.ServesFront && member.State == nodepb.MemberState_ALIVE {
			byZone[member.Zone] = append(byZone[member.Zone], member)
		}
	}
	own := relayOf(s.options.Zone, byZone[s.options.Zone])
	s.relay, s.proxies, s.relays = "", nil, nil
	if own != nil && own.NodeId != s.options.SelfID {
		s.relay = own.Address
		return
	}
	for _, member := range byZone[s.options.Zone] {
		if member.NodeId != s.options.SelfID {
			s.proxies = append(s.proxies, member.Address)
		}
	}
	for zone, proxies := range byZone {
		if zone != s.options.Zone {
			s.relays = append(s.relays, relayOf(zone, proxies).Address)
		}
	}
	slices.Sort(s.relays)
}

// relayOf is the relay of a zone: one of its machines with a disk, which are the larger ones, where there are some.
func relayOf(zone string, proxies []*nodepb.Member) *nodepb.Member {
	counting := slices.DeleteFunc(slices.Clone(proxies), func(m *nodepb.Member) bool { return !m.CountsForQuorum })
	if len(counting) > 0 {
		proxies = counting
	}
	if len(proxies) == 0 {
		return nil
	}
	return rendezvous.Best("load-hints/"+zone, proxies, func(m *nodepb.Member) string { return m.NodeId })
}

// targets is how many nodes this relay sends to.
func (s *Spreader) targets() int { return len(s.proxies) + len(s.relays) }

// Sent takes what this node's proxy has sent to a broker.
func (s *Spreader) Sent(now core.Time, hint *nodepb.LoadHint) {
	if s.relay == "" {
		s.enqueue(now, waitingHint{hint: hint, ofZone: true})
		return
	}
	s.collected = append(s.collected, hint)
	s.collectedAt = min(s.collectedAt, now+collectFor)
}

func (s *Spreader) enqueue(now core.Time, waiting waitingHint) {
	if s.targets() == 0 {
		return
	}
	s.waiting = append(s.waiting, waiting)
	if s.batchAt == core.Never {
		s.batchAt = now + min(max(time.Duration(s.targets())*batchPerTarget, leastBatch), longestBatch)
	}
}

// Receive takes hints of another node. Those that come here as to a relay while this node knows of another one are used, and not
// passed on.
func (s *Spreader) Receive(now core.Time, from core.Peer, message *nodepb.LoadHints) []core.Output {
	hints := message.Hints[:min(len(message.Hints), mostHints)]
	s.outputs = append(s.outputs, core.LoadHintsReceived{Hints: hints})
	if s.relay == "" && message.Hop != nodepb.LoadHintHop_TO_PROXY {
		ofZone := message.Hop == nodepb.LoadHintHop_TO_RELAY
		for _, hint := range hints {
			waiting := waitingHint{hint: hint, ofZone: ofZone}
			if ofZone {
				waiting.origin = from.Address
			}
			s.enqueue(now, waiting)
		}
	}
	return s.takeOutputs()
}

// Tick sends what has waited long enough.
func (s *Spreader) Tick(now core.Time) []core.Output {
	if s.collectedAt <= now {
		s.sendCollected()
	}
	if s.batchAt <= now {
		s.sendBatch(now)
	}
	return s.takeOutputs()
}

// Deadline is when Tick is next due.
func (s *Spreader) Deadline() core.Time { return min(s.collectedAt, s.batchAt) }

func (s *Spreader) sendCollected() {
	if s.relay != "" {
		s.send(s.relay, nodepb.LoadHintHop_TO_RELAY, s.collected)
	}
	s.collected = nil
	s.collectedAt = core.Never
}

func (s *Spreader) sendBatch(now core.Time) {
	if !s.thin(now) {
		s.batchAt = now + time.Second/time.Duration(s.options.HintsPerSecond)
		return
	}
	for _, proxy := range s.proxies {
		s.send(proxy, nodepb.LoadHintHop_TO_PROXY, s.choose(func(w *waitingHint) bool { return w.origin != proxy }))
	}
	ofZone := s.choose(func(w *waitingHint) bool { return w.ofZone })
	for _, relay := range s.relays {
		s.send(relay, nodepb.LoadHintHop_BETWEEN_RELAYS, ofZone)
	}
	s.waiting = s.waiting[:0]
	s.batchAt = core.Never
}

// choose lists the waiting hints for which the condition holds.
func (s *Spreader) choose(holds func(*waitingHint) bool) []*nodepb.LoadHint {
	hints := make([]*nodepb.LoadHint, 0, len(s.waiting))
	for i := range s.waiting {
		if holds(&s.waiting[i]) {
			hints = append(hints, s.waiting[i].hint)
		}
	}
	return hints
}

// thin leaves no more hints than may be passed on, picked by chance; each stands for some that are left out. false: none may be just
// now.
func (s *Spreader) thin(now core.Time) bool {
	rate := float64(s.options.HintsPerSecond)
	s.allowance = min(s.allowance+rate*(now-s.allowedAt).Seconds(), rate*burst.Seconds())
	s.allowedAt = now
	count := len(s.waiting)
	keep := min(count, int(s.allowance))
	s.allowance -= float64(keep)
	if keep == count || keep == 0 {
		return keep > 0
	}
	s.options.Random.Shuffle(count, func(i, j int) { s.waiting[i], s.waiting[j] = s.waiting[j], s.waiting[i] })
	s.waiting = s.waiting[:keep]
	for i := range s.waiting {
		s.waiting[i].hint = raised(s.waiting[i].hint, float64(count)/float64(keep))
	}
	return true
}

// raised is a hint that stands for `times` as many.
func raised(hint *nodepb.LoadHint, times float64) *nodepb.LoadHint {
	unread := min(float64(hint.Unread)*times, math.MaxUint32)
	return &nodepb.LoadHint{
		Instance: hint.Instance, Salt: hint.Salt, PartIds: hint.PartIds, PartTokens: hint.PartTokens, Unread: uint32(unread),
		PauseUs: hint.PauseUs,
	}
}

func (s *Spreader) send(to string, hop nodepb.LoadHintHop, hints []*nodepb.LoadHint) {
	if len(hints) == 0 {
		return
	}
	body := &nodepb.Envelope_LoadHints{LoadHints: &nodepb.LoadHints{Hints: hints, Hop: hop}}
	s.outputs = append(s.outputs, core.Send{Destination: to, Message: &nodepb.Envelope{Body: body}})
}

func (s *Spreader) takeOutputs() []core.Output {
	taken := s.outputs
	s.outputs = nil
	return taken
}
