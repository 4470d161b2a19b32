package kvindex

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// broadcastInterval is the least time between two updates of a topic.
	broadcastInterval = time.Second
	// bytesPerChange is the approximate size of one change in a message.
	bytesPerChange = 16
	// maxRetainedUpdates is how many of the newest updates are retained for subscribers that missed some.
	maxRetainedUpdates = 8
	// maxSnapshotChanges is the greatest number of changes in one snapshot.
	maxSnapshotChanges = 8192
	// snapshotInterval is the least time between two snapshots to the same subscriber.
	snapshotInterval = 2 * time.Second
	// maxPendingAge is how long a change may stay pending because updates are limited in size; then it is
	// dropped.
	maxPendingAge = 5 * time.Second
)

// topicKey identifies a topic: the sources of one service in one zone.
type topicKey struct{ service, zone string }

// holderPart identifies a part at a holder.
type holderPart struct {
	holder string // name of the holder
	partKey
}

// pendingChange is a change of a part that has not been announced to subscribers yet.
type pendingChange struct {
	tokens       uint32 // cached now; 0: the part is no longer cached
	pendingSince core.Time
	shared       bool // the part was seen more than once lately
}

// topic collects the changes of the sources of one service in one zone, and builds updates from them.
type topic struct {
	key             topicKey
	epoch           uint64
	sequence        uint64 // of the newest update
	started         bool   // the first update, which is marked as a snapshot, was built
	pending         map[holderPart]pendingChange
	resetHolders    []string // holders that lost their cache since the last update
	aliveStores     []string // stores that answered since the last update
	sources         []*source
	updates         []*nodepb.IndexUpdate // the newest ones, at most maxRetainedUpdates, in the order of their sequence
	snapshotSentAt  map[string]core.Time  // by the subscriber's address
	nextBroadcastAt core.Time
	announced       map[holderPart]bool // parts that subscribers know as cached
	recentlySeen    recentParts
}

// newTopic returns a topic without sources, whose first update is due after a broadcastInterval.
func newTopic(key topicKey, epoch uint64, now core.Time) *topic {
	return &topic{
		key: key, epoch: epoch, pending: map[holderPart]pendingChange{}, snapshotSentAt: map[string]core.Time{},
		announced: map[holderPart]bool{}, nextBroadcastAt: now + broadcastInterval,
	}
}

// recordEvents adds the changes that a source's events reported to the pending ones. Parts of fewer than
// minTokens tokens are left out unless subscribers know them as cached with more tokens.
func (t *topic) recordEvents(now core.Time, s *source, reset bool, changed []partKey, minTokens uint32) {
	name := s.name()
	if reset {
		t.dropHolder(name)
		t.resetHolders = append(t.resetHolders, name)
	}
	if s.Instance == "" && !slices.Contains(t.aliveStores, name) {
		t.aliveStores = append(t.aliveStores, name)
	}
	for _, key := range changed {
		t.recordChange(now, holderPart{name, key}, s.cached[key].tokens, minTokens)
	}
}

// recordChange adds one change. It replaces a pending change of the same part but keeps its age.
func (t *topic) recordChange(now core.Time, part holderPart, tokens, minTokens uint32) {
	if tokens < minTokens && !t.announced[part] {
		delete(t.pending, part)
		return
	}
	shared := tokens > 0 && t.recentlySeen.checkAndRecord(part.partKey)
	change := pendingChange{tokens: tokens, pendingSince: now, shared: shared}
	if previous, ok := t.pending[part]; ok {
		change.pendingSince = previous.pendingSince
		change.shared = shared || previous.shared
	}
	t.pending[part] = change
}

// dropHolder drops all pending and announced parts of a holder that was removed or has lost its cache.
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

// due reports whether an update is to be broadcast now.
func (t *topic) due(now core.Time) bool { return t.hasChanges() && now >= t.nextBroadcastAt }

// deadline returns when the next update is to be broadcast, or core.Never if there is nothing to announce.
func (t *topic) deadline() core.Time {
	if !t.hasChanges() {
		return core.Never
	}
	return t.nextBroadcastAt
}

// hasChanges reports whether there is anything to announce.
func (t *topic) hasChanges() bool {
	return len(t.pending)+len(t.resetHolders)+len(t.aliveStores) > 0
}

// nextUpdate builds and retains the next update. Its changes of parts take about maxBytes at most. It
// must be called only if the topic is due.
func (t *topic) nextUpdate(now core.Time, maxBytes int) *nodepb.IndexUpdate {
	t.nextBroadcastAt = now + broadcastInterval
	selected := t.selectPending(now, maxBytes/bytesPerChange)
	update := &nodepb.IndexUpdate{Service: t.key.service, Zone: t.key.zone, Epoch: t.epoch, Complete: !t.started}
	for _, name := range t.resetHolders {
		update.Changes = append(update.Changes, resetChange(name))
	}
	for _, name := range t.aliveStores {
		update.Changes = append(update.Changes, aliveChange(name))
	}
	update.Changes = appendChanges(update.Changes, selected, func(key holderPart) uint32 { return t.pending[key].tokens })
	t.markAnnounced(selected)
	t.resetHolders, t.aliveStores = t.resetHolders[:0], t.aliveStores[:0]
	t.started = true
	t.sequence++
	update.Sequence = t.sequence
	t.retain(update)
	return update
}

// selectPending returns the pending changes to announce, sorted by holder, salt and part. If there are more
// than maxChanges it selects those of the highest priority: shared parts first, then the parts with the
// most tokens. Of the remaining changes, those older than maxPendingAge are dropped.
func (t *topic) selectPending(now core.Time, maxChanges int) []holderPart {
	keys := make([]holderPart, 0, len(t.pending))
	for key := range t.pending {
		keys = append(keys, key)
	}
	if len(keys) > maxChanges {
		slices.SortFunc(keys, t.comparePriority)
		for _, key := range keys[maxChanges:] {
			if now-t.pending[key].pendingSince > maxPendingAge {
				delete(t.pending, key)
			}
		}
		keys = keys[:maxChanges]
	}
	slices.SortFunc(keys, compareHolderParts)
	return keys
}

// comparePriority orders pending changes by their value to subscribers: shared parts first, then by
// descending token count.
func (t *topic) comparePriority(a, b holderPart) int {
	first, second := t.pending[a], t.pending[b]
	if first.shared != second.shared {
		if first.shared {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(second.tokens, first.tokens), compareHolderParts(a, b))
}

// compareHolderParts orders by holder, salt and part.
func compareHolderParts(a, b holderPart) int {
	return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.salt, b.salt), cmp.Compare(a.part, b.part))
}

// markAnnounced records that the selected pending changes have been announced.
func (t *topic) markAnnounced(selected []holderPart) {
	for _, key := range selected {
		if t.pending[key].tokens > 0 {
			t.announced[key] = true
		} else {
			delete(t.announced, key)
		}
		delete(t.pending, key)
	}
}

// retain keeps an update for subscribers that miss it, in place of the oldest one if there are too many.
func (t *topic) retain(update *nodepb.IndexUpdate) {
	if len(t.updates) == maxRetainedUpdates {
		copy(t.updates, t.updates[1:])
		t.updates = t.updates[:maxRetainedUpdates-1]
	}
	t.updates = append(t.updates, update)
}

// updatesSince returns the updates that a subscriber lacks after those up to a sequence number of an
// epoch: the retained updates if they suffice, otherwise a snapshot. It returns nothing if a snapshot is
// needed but the latest one was sent to the subscriber less than snapshotInterval ago.
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
	if sentAt, ok := t.snapshotSentAt[subscriber]; ok && now < sentAt+snapshotInterval {
		return nil
	}
	t.snapshotSentAt[subscriber] = now
	return []*nodepb.IndexUpdate{t.snapshot()}
}

// snapshot returns an update with all announced parts that are still cached. If there are more than
// maxSnapshotChanges, it contains those with the most tokens.
func (t *topic) snapshot() *nodepb.IndexUpdate {
	tokens := make(map[holderPart]uint32, len(t.announced))
	keys := make([]holderPart, 0, len(t.announced))
	for _, s := range t.sources {
		name := s.name()
		for part, cached := range s.cached {
			key := holderPart{name, part}
			if t.announced[key] {
				keys = append(keys, key)
				tokens[key] = cached.tokens
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
		Service: t.key.service, Zone: t.key.zone, Epoch: t.epoch, Sequence: t.sequence, Complete: true,
		Changes: appendChanges(nil, keys, func(key holderPart) uint32 { return tokens[key] }),
	}
}
