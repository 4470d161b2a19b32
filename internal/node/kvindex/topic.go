package kvindex

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// broadcastInterval is how often what changed is told.
	broadcastInterval = time.Second
	// bytesPerChange is about what one change takes in a message.
	bytesPerChange = 16
	// maxRetainedUpdates is how many updates are kept for subscribers that missed some.
	maxRetainedUpdates = 8
	// maxSnapshotChanges bounds the changes in one snapshot.
	maxSnapshotChanges = 8192
	// snapshotInterval lies between two snapshots for the same subscriber.
	snapshotInterval = 2 * time.Second
	// maxPendingAge is how long a change that the bound on bytes holds back is kept.
	maxPendingAge = 5 * time.Second
)

// topicKey names what is spread together.
type topicKey struct{ service, zone string }

// holderPart is a part at a holder that changed.
type holderPart struct {
	holder string
	partKey
}

// pendingChange is a change that was not told yet.
type pendingChange struct {
	tokens       uint32
	pendingSince core.Time
	shared       bool
}

// topic spreads what the brokers of one service in one zone keep.
type topic struct {
	key             topicKey
	epoch           uint64
	sequence        uint64
	started         bool // the first update, which is a snapshot, has gone out
	pending         map[holderPart]pendingChange
	resetHolders    []string // holders that lost all since the last update
	aliveStores     []string // stores that answered since the last update
	sources         []*source
	updates         []*nodepb.IndexUpdate // the newest, oldest first
	snapshotSentAt  map[string]core.Time  // last snapshot by subscriber
	nextBroadcastAt core.Time
	announced       map[holderPart]bool
	recent          recentParts
}

func newTopic(id topicKey, epoch uint64, now core.Time) *topic {
	return &topic{
		key: id, epoch: epoch, pending: map[holderPart]pendingChange{}, snapshotSentAt: map[string]core.Time{},
		announced: map[holderPart]bool{}, nextBroadcastAt: now + broadcastInterval,
	}
}

// recordEvents takes in what a source's events changed.
func (t *topic) recordEvents(now core.Time, s *source, reset bool, changed []partKey, leastTokens uint32) {
	name := s.name()
	if reset {
		t.dropHolder(name)
		t.resetHolders = append(t.resetHolders, name)
	}
	if s.Instance == "" && !slices.Contains(t.aliveStores, name) {
		t.aliveStores = append(t.aliveStores, name)
	}
	for _, key := range changed {
		t.recordChange(now, name, key, s.cached[key].tokens, leastTokens)
	}
}

func (t *topic) recordChange(now core.Time, name string, key partKey, tokens, leastTokens uint32) {
	at := holderPart{name, key}
	if tokens < leastTokens && !t.announced[at] {
		delete(t.pending, at)
		return
	}
	shared := tokens > 0 && t.recent.recordAndTest(key)
	if before, ok := t.pending[at]; ok {
		t.pending[at] = pendingChange{tokens: tokens, pendingSince: before.pendingSince, shared: shared || before.shared}
		return
	}
	t.pending[at] = pendingChange{tokens: tokens, pendingSince: now, shared: shared}
}

// dropHolder drops what was to be told of a holder, as it has lost all.
func (t *topic) dropHolder(name string) {
	for key := range t.pending {
		if key.holder == name {
			delete(t.pending, key)
		}
	}
	for key := range t.announced {
		if key.holder == name {
			delete(t.announced, key)
		}
	}
}

// due reports whether something is to be told now.
func (t *topic) due(now core.Time) bool {
	return now >= t.nextBroadcastAt && len(t.pending)+len(t.resetHolders)+len(t.aliveStores) > 0
}

// deadline is when something is to be told.
func (t *topic) deadline() core.Time {
	if len(t.pending)+len(t.resetHolders)+len(t.aliveStores) == 0 {
		return core.Never
	}
	return t.nextBroadcastAt
}

// nextUpdate makes the next message, of at most `bytes`; nil where there is nothing to tell.
func (t *topic) nextUpdate(now core.Time, bytes int) *nodepb.IndexUpdate {
	t.nextBroadcastAt = now + broadcastInterval
	chosen := t.selectPending(now, bytes/bytesPerChange)
	update := &nodepb.IndexUpdate{Service: t.key.service, Zone: t.key.zone, Epoch: t.epoch, Whole: !t.started}
	for _, name := range t.resetHolders {
		update.Changes = append(update.Changes, resetChange(name))
	}
	for _, name := range t.aliveStores {
		update.Changes = append(update.Changes, aliveChange(name))
	}
	update.Changes = appendChanges(update.Changes, chosen, func(key holderPart) uint32 { return t.pending[key].tokens })
	t.markAnnounced(chosen)
	t.resetHolders, t.aliveStores = t.resetHolders[:0], t.aliveStores[:0]
	t.started = true
	t.sequence++
	update.Sequence = t.sequence
	t.retain(update)
	return update
}

// selectPending picks the changes to tell, those of shared parts first, then the largest. What is left and old is dropped.
func (t *topic) selectPending(now core.Time, most int) []holderPart {
	keys := make([]holderPart, 0, len(t.pending))
	for key := range t.pending {
		keys = append(keys, key)
	}
	if len(keys) > most {
		slices.SortFunc(keys, t.compareUrgency)
		for _, key := range keys[most:] {
			if now-t.pending[key].pendingSince > maxPendingAge {
				delete(t.pending, key)
			}
		}
		keys = keys[:most]
	}
	slices.SortFunc(keys, compareHolderParts)
	return keys
}

func (t *topic) compareUrgency(a, b holderPart) int {
	first, second := t.pending[a], t.pending[b]
	if first.shared != second.shared {
		if first.shared {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(second.tokens, first.tokens), compareHolderParts(a, b))
}

func compareHolderParts(a, b holderPart) int {
	return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.salt, b.salt), cmp.Compare(a.part, b.part))
}

// markAnnounced notes what has been told.
func (t *topic) markAnnounced(chosen []holderPart) {
	for _, key := range chosen {
		if t.pending[key].tokens > 0 {
			t.announced[key] = true
		} else {
			delete(t.announced, key)
		}
		delete(t.pending, key)
	}
}

func (t *topic) retain(update *nodepb.IndexUpdate) {
	if len(t.updates) == maxRetainedUpdates {
		copy(t.updates, t.updates[1:])
		t.updates = t.updates[:maxRetainedUpdates-1]
	}
	t.updates = append(t.updates, update)
}

// updatesSince lists what brings a subscriber up to date that has everything up to `sequence` of `epoch`.
func (t *topic) updatesSince(now core.Time, subscriber string, epoch, sequence uint64) []*nodepb.IndexUpdate {
	if epoch == t.epoch && sequence == t.sequence {
		return nil
	}
	if epoch == t.epoch && sequence < t.sequence && t.sequence-sequence <= uint64(len(t.updates)) {
		return t.updates[uint64(len(t.updates))-(t.sequence-sequence):]
	}
	if !t.started {
		return nil
	}
	if at, ok := t.snapshotSentAt[subscriber]; ok && now < at+snapshotInterval {
		return nil
	}
	t.snapshotSentAt[subscriber] = now
	return []*nodepb.IndexUpdate{t.snapshot()}
}

// snapshot is a snapshot of what was told, the largest parts first where it is too much.
func (t *topic) snapshot() *nodepb.IndexUpdate {
	tokens := make(map[holderPart]uint32, len(t.announced))
	keys := make([]holderPart, 0, len(t.announced))
	for _, s := range t.sources {
		name := s.name()
		for part, kept := range s.cached {
			key := holderPart{name, part}
			if t.announced[key] {
				keys = append(keys, key)
				tokens[key] = kept.tokens
			}
		}
	}
	if len(keys) > maxSnapshotChanges {
		slices.SortFunc(keys, func(a, b holderPart) int {
			return cmp.Or(cmp.Compare(tokens[b], tokens[a]), compareHolderParts(a, b))
		})
		keys = keys[:maxSnapshotChanges]
	}
	slices.SortFunc(keys, compareHolderParts)
	return &nodepb.IndexUpdate{
		Service: t.key.service, Zone: t.key.zone, Epoch: t.epoch, Sequence: t.sequence, Whole: true,
		Changes: appendChanges(nil, keys, func(key holderPart) uint32 { return tokens[key] }),
	}
}
