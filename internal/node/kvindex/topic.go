package kvindex

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// spreadPeriod is how often what changed is told.
	spreadPeriod = time.Second
	// changeBytes is about what one change takes in a message.
	changeBytes = 16
	// keptUpdates is how many updates are kept for subscribers that missed some.
	keptUpdates = 8
	// mostWhole bounds the changes in one snapshot.
	mostWhole = 8192
	// wholePeriod lies between two snapshots for the same subscriber.
	wholePeriod = 2 * time.Second
	// pendingAge is how long a change that the bound on bytes holds back is kept.
	pendingAge = 5 * time.Second
)

// topicID names what is spread together.
type topicID struct{ service, zone string }

// pendingKey is a part at a holder that changed.
type pendingKey struct {
	holder string
	partKey
}

// pendingChange is a change that was not told yet.
type pendingChange struct {
	tokens uint32
	since  core.Time
	shared bool
}

// topic spreads what the brokers of one service in one zone keep.
type topic struct {
	id       topicID
	epoch    uint64
	sequence uint64
	started  bool // the first update, which is a snapshot, has gone out
	pending  map[pendingKey]pendingChange
	resets   []string // holders that lost all since the last update
	alive    []string // stores that answered since the last update
	sources  []*source
	updates  []*nodepb.IndexUpdate // the newest, oldest first
	wholeAt  map[string]core.Time  // last snapshot by subscriber
	nextAt   core.Time
	told     map[pendingKey]bool
	seen     sightings
}

func newTopic(id topicID, epoch uint64, now core.Time) *topic {
	return &topic{
		id: id, epoch: epoch, pending: map[pendingKey]pendingChange{}, wholeAt: map[string]core.Time{},
		told: map[pendingKey]bool{}, nextAt: now + spreadPeriod,
	}
}

// note takes in what a source's events changed.
func (t *topic) note(now core.Time, s *source, reset bool, changed []partKey, leastTokens uint32) {
	name := s.name()
	if reset {
		t.forgetPending(name)
		t.resets = append(t.resets, name)
	}
	if s.Instance == "" && !slices.Contains(t.alive, name) {
		t.alive = append(t.alive, name)
	}
	for _, key := range changed {
		t.noteChange(now, name, key, s.kept[key].tokens, leastTokens)
	}
}

func (t *topic) noteChange(now core.Time, name string, key partKey, tokens, leastTokens uint32) {
	at := pendingKey{name, key}
	if tokens < leastTokens && !t.told[at] {
		delete(t.pending, at)
		return
	}
	shared := tokens > 0 && t.seen.again(key)
	if before, ok := t.pending[at]; ok {
		t.pending[at] = pendingChange{tokens: tokens, since: before.since, shared: shared || before.shared}
		return
	}
	t.pending[at] = pendingChange{tokens: tokens, since: now, shared: shared}
}

// forgetPending drops what was to be told of a holder, as it has lost all.
func (t *topic) forgetPending(name string) {
	for key := range t.pending {
		if key.holder == name {
			delete(t.pending, key)
		}
	}
	for key := range t.told {
		if key.holder == name {
			delete(t.told, key)
		}
	}
}

// due reports whether something is to be told now.
func (t *topic) due(now core.Time) bool {
	return now >= t.nextAt && len(t.pending)+len(t.resets)+len(t.alive) > 0
}

// deadline is when something is to be told.
func (t *topic) deadline() core.Time {
	if len(t.pending)+len(t.resets)+len(t.alive) == 0 {
		return core.Never
	}
	return t.nextAt
}

// update makes the next message, of at most `bytes`; nil where there is nothing to tell.
func (t *topic) update(now core.Time, bytes int) *nodepb.IndexUpdate {
	t.nextAt = now + spreadPeriod
	chosen := t.choose(now, bytes/changeBytes)
	update := &nodepb.IndexUpdate{Service: t.id.service, Zone: t.id.zone, Epoch: t.epoch, Whole: !t.started}
	for _, name := range t.resets {
		update.Changes = append(update.Changes, resetChange(name))
	}
	for _, name := range t.alive {
		update.Changes = append(update.Changes, aliveChange(name))
	}
	update.Changes = appendChanges(update.Changes, chosen, func(key pendingKey) uint32 { return t.pending[key].tokens })
	t.settle(chosen)
	t.resets, t.alive = t.resets[:0], t.alive[:0]
	t.started = true
	t.sequence++
	update.Sequence = t.sequence
	t.remember(update)
	return update
}

// choose picks the changes to tell, those of shared parts first, then the largest. What is left and old is dropped.
func (t *topic) choose(now core.Time, most int) []pendingKey {
	keys := make([]pendingKey, 0, len(t.pending))
	for key := range t.pending {
		keys = append(keys, key)
	}
	if len(keys) > most {
		slices.SortFunc(keys, t.compareUrgency)
		for _, key := range keys[most:] {
			if now-t.pending[key].since > pendingAge {
				delete(t.pending, key)
			}
		}
		keys = keys[:most]
	}
	slices.SortFunc(keys, comparePending)
	return keys
}

func (t *topic) compareUrgency(a, b pendingKey) int {
	first, second := t.pending[a], t.pending[b]
	if first.shared != second.shared {
		if first.shared {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(second.tokens, first.tokens), comparePending(a, b))
}

func comparePending(a, b pendingKey) int {
	return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.salt, b.salt), cmp.Compare(a.part, b.part))
}

// settle notes what has been told.
func (t *topic) settle(chosen []pendingKey) {
	for _, key := range chosen {
		if t.pending[key].tokens > 0 {
			t.told[key] = true
		} else {
			delete(t.told, key)
		}
		delete(t.pending, key)
	}
}

func (t *topic) remember(update *nodepb.IndexUpdate) {
	if len(t.updates) == keptUpdates {
		copy(t.updates, t.updates[1:])
		t.updates = t.updates[:keptUpdates-1]
	}
	t.updates = append(t.updates, update)
}

// missed lists what brings a subscriber up to date that has everything up to `sequence` of `epoch`.
func (t *topic) missed(now core.Time, subscriber string, epoch, sequence uint64) []*nodepb.IndexUpdate {
	if epoch == t.epoch && sequence == t.sequence {
		return nil
	}
	if epoch == t.epoch && sequence < t.sequence && t.sequence-sequence <= uint64(len(t.updates)) {
		return t.updates[uint64(len(t.updates))-(t.sequence-sequence):]
	}
	if !t.started {
		return nil
	}
	if at, ok := t.wholeAt[subscriber]; ok && now < at+wholePeriod {
		return nil
	}
	t.wholeAt[subscriber] = now
	return []*nodepb.IndexUpdate{t.whole()}
}

// whole is a snapshot of what was told, the largest parts first where it is too much.
func (t *topic) whole() *nodepb.IndexUpdate {
	tokens := make(map[pendingKey]uint32, len(t.told))
	keys := make([]pendingKey, 0, len(t.told))
	for _, s := range t.sources {
		name := s.name()
		for part, kept := range s.kept {
			key := pendingKey{name, part}
			if t.told[key] {
				keys = append(keys, key)
				tokens[key] = kept.tokens
			}
		}
	}
	if len(keys) > mostWhole {
		slices.SortFunc(keys, func(a, b pendingKey) int {
			return cmp.Or(cmp.Compare(tokens[b], tokens[a]), comparePending(a, b))
		})
		keys = keys[:mostWhole]
	}
	slices.SortFunc(keys, comparePending)
	return &nodepb.IndexUpdate{
		Service: t.id.service, Zone: t.id.zone, Epoch: t.epoch, Sequence: t.sequence, Whole: true,
		Changes: appendChanges(nil, keys, func(key pendingKey) uint32 { return tokens[key] }),
	}
}
