package registry

import (
	"slices"
	"strings"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Anti-entropy repairs lost broadcasts. It is a pull in up to three steps, once a second:
//
//  1. A node sends the full digest, over all its topics, to a random other node.
//  2. If that differs from the receiver's, the receiver answers with its digests by topic.
//  3. The node requests the topics that differ, from the receiver and from their homes, and merges
//     the answers.
//
// A poll without digests requests everything: the initial full sync.

// pollPeer starts a comparison with another node.
func (r *Registry) pollPeer(now core.Time) {
	if len(r.others) == 0 {
		r.nextPoll = now
		return
	}
	if !r.synced {
		r.pollInitial(now)
		return
	}
	if r.polledPeer != nil {
		r.polledPeer.pollBackoffUntil = now + peerBackoff
	}
	r.polledPeer = r.comparisonPeer(now)
	r.nextPoll = now + pollTimeout
	r.sendPoll(r.polledPeer.address, []*nodepb.TopicDigest{r.fullDigest()})
}

// recordPollAnswer ends the wait for the answer if it comes from the node polled last.
func (r *Registry) recordPollAnswer(now core.Time, from core.Peer) {
	if r.polledPeer != nil && r.polledPeer.id == from.NodeID {
		r.polledPeer = nil
		r.nextPoll = now + pollInterval
	}
}

// pollInitial requests a full sync from initialPollPeers nodes. It is repeated until one answers with
// brokers that are not gone, or maxInitialPolls rounds have passed.
func (r *Registry) pollInitial(now core.Time) {
	r.nextPoll = now + initialPollInterval
	r.initialPolls++
	if r.initialPolls >= maxInitialPolls {
		r.synced = true
	}
	for range min(initialPollPeers, len(r.others)) {
		r.sendPoll(r.nextOther().address, nil)
	}
}

// nextOther returns the other nodes in turn, from a random one on.
func (r *Registry) nextOther() *peer {
	if r.pollCursor == 0 {
		r.pollCursor = 1 + r.random.IntN(len(r.others))
	}
	r.pollCursor++
	return r.others[r.pollCursor%len(r.others)]
}

// comparisonPeer picks a random node of any zone, so that no zone as a whole falls behind. Suspects
// and nodes in backoff are skipped, unless there are no others.
func (r *Registry) comparisonPeer(now core.Time) *peer {
	start := r.random.IntN(len(r.others))
	for offset := range r.others {
		candidate := r.others[(start+offset)%len(r.others)]
		if candidate.available(now) && candidate.pollBackoffUntil <= now {
			return candidate
		}
	}
	return r.others[start]
}

// fullDigest covers all topics. It is the one digest without service and zone.
func (r *Registry) fullDigest() *nodepb.TopicDigest {
	return &nodepb.TopicDigest{Digest: digestBytes(r.digestSum), Count: r.liveCount}
}

func isFullDigest(digest *nodepb.TopicDigest) bool { return digest.Service == "" && digest.Zone == "" }

func (r *Registry) sendPoll(address string, digests []*nodepb.TopicDigest) {
	poll := &nodepb.RegistryPoll{Topics: digests}
	r.outbox.Send(address, &nodepb.Envelope{Body: &nodepb.Envelope_RegistryPoll{RegistryPoll: poll}})
}

func (r *Registry) sendSnapshot(address string, snapshot *nodepb.RegistrySnapshot) {
	r.outbox.Send(address, &nodepb.Envelope{Body: &nodepb.Envelope_RegistrySnapshot{RegistrySnapshot: snapshot}})
}

// receivePoll answers another node's poll.
func (r *Registry) receivePoll(now core.Time, from core.Peer, poll *nodepb.RegistryPoll) {
	switch {
	case len(poll.Topics) == 0:
		r.sendFullSync(now, from.Address)
	case len(poll.Topics) == 1 && isFullDigest(poll.Topics[0]):
		r.answerFullDigest(from.Address, poll.Topics[0])
	default:
		r.sendTopics(now, from.Address, poll.Topics)
	}
}

// answerFullDigest answers an equal digest with itself, and a different one with the digests by topic.
func (r *Registry) answerFullDigest(address string, theirs *nodepb.TopicDigest) {
	own := r.fullDigest()
	if own.Count == theirs.Count && string(own.Digest) == string(theirs.Digest) {
		r.sendSnapshot(address, &nodepb.RegistrySnapshot{Topics: []*nodepb.TopicDigest{own}})
		return
	}
	r.sendSnapshot(address, &nodepb.RegistrySnapshot{Topics: r.listTopics()})
}

// listTopics returns the digests of all topics, ordered by service and zone. A topic with neither name
// is left out, as its digest would be taken for the full one.
func (r *Registry) listTopics() []*nodepb.TopicDigest {
	list := make([]*nodepb.TopicDigest, 0, len(r.topics))
	for _, t := range r.topics {
		if digest := t.digestMessage(); !isFullDigest(digest) {
			list = append(list, digest)
		}
	}
	slices.SortFunc(list, compareDigests)
	return list
}

func compareDigests(a, b *nodepb.TopicDigest) int {
	if byService := strings.Compare(a.Service, b.Service); byService != 0 {
		return byService
	}
	return strings.Compare(a.Zone, b.Zone)
}

// sendFullSync sends all records, tombstones included; the full digest if there are none.
func (r *Registry) sendFullSync(now core.Time, address string) {
	list := make([]*nodepb.Instance, 0, len(r.records))
	for _, rec := range r.records {
		list = append(list, rec.message(now))
	}
	if len(list) == 0 {
		r.sendSnapshot(address, &nodepb.RegistrySnapshot{Topics: []*nodepb.TopicDigest{r.fullDigest()}})
		return
	}
	r.sendInstances(address, list)
}

// sendTopics sends the records of the topics that differ from the digests, tombstones included.
func (r *Registry) sendTopics(now core.Time, address string, digests []*nodepb.TopicDigest) {
	var list []*nodepb.Instance
	for _, digest := range digests {
		t := r.topics[topicKey{digest.Service, digest.Zone}]
		if t == nil || sameDigest(t, digest) {
			continue
		}
		for _, rec := range t.records {
			list = append(list, rec.message(now))
		}
	}
	r.sendInstances(address, list)
}

// sendInstances sends brokers in messages of bounded size.
func (r *Registry) sendInstances(address string, list []*nodepb.Instance) {
	sortByID(list)
	for chunk := range slices.Chunk(list, maxInstancesPerMessage) {
		r.sendSnapshot(address, &nodepb.RegistrySnapshot{Instances: chunk})
	}
}

// receiveSnapshot handles the answer to a poll: it merges the brokers, and requests the topics whose
// digests differ.
func (r *Registry) receiveSnapshot(now core.Time, from core.Peer, snapshot *nodepb.RegistrySnapshot) {
	r.recordInitialAnswer(now, snapshot)
	r.recordPollAnswer(now, from)
	for _, instance := range snapshot.Instances {
		r.mergeSnapshotEntry(now, from, instance)
	}
	if len(snapshot.Topics) == 1 && isFullDigest(snapshot.Topics[0]) {
		return
	}
	r.requestTopics(from.Address, r.differingDigests(snapshot.Topics))
}

// recordInitialAnswer completes the initial full sync with the first answer that has brokers which are
// not gone. An answer without any may come from a node that has just started too, and knows no more
// than one that has left: the next nodes are polled at once.
func (r *Registry) recordInitialAnswer(now core.Time, snapshot *nodepb.RegistrySnapshot) {
	if r.synced {
		return
	}
	if !slices.ContainsFunc(snapshot.Instances, isPresent) {
		r.nextPoll = min(r.nextPoll, now)
		return
	}
	r.synced = true
	r.nextPoll = now + pollInterval
}

// isPresent reports whether a broker is not gone.
func isPresent(instance *nodepb.Instance) bool { return instance.State != nodepb.InstanceState_GONE }

// mergeSnapshotEntry merges one broker of an answer. Only the home of its topic knows its liveness.
func (r *Registry) mergeSnapshotEntry(now core.Time, from core.Peer, instance *nodepb.Instance) {
	if instance.Id == "" {
		return
	}
	trust := ignoreLiveness
	if t := r.topics[keyOf(instance)]; t != nil && t.home.address == from.Address {
		trust = trustLiveness
	}
	r.merge(now, instance, trust)
}

// differingDigests lists this node's digests of the topics whose digests differ from another node's.
func (r *Registry) differingDigests(theirs []*nodepb.TopicDigest) []*nodepb.TopicDigest {
	var list []*nodepb.TopicDigest
	for _, other := range theirs {
		own := r.topics[topicKey{other.Service, other.Zone}]
		switch {
		case sameDigest(own, other):
		case own == nil:
			list = append(list, &nodepb.TopicDigest{Service: other.Service, Zone: other.Zone})
		default:
			list = append(list, own.digestMessage())
		}
	}
	return list
}

// requestTopics requests topics from the node whose digests differ, and from the homes of the topics,
// as these alone know which brokers are unresponsive.
func (r *Registry) requestTopics(address string, digests []*nodepb.TopicDigest) {
	if len(digests) == 0 {
		return
	}
	r.sendPoll(address, digests)
	byHome := map[string][]*nodepb.TopicDigest{}
	for _, digest := range digests {
		t := r.topics[topicKey{digest.Service, digest.Zone}]
		if t == nil || t.home.self || t.home.address == address {
			continue
		}
		byHome[t.home.address] = append(byHome[t.home.address], digest)
	}
	for _, home := range r.others {
		if digests := byHome[home.address]; len(digests) > 0 {
			r.sendPoll(home.address, digests)
		}
	}
}

// Synced reports whether this node has completed its initial full sync, or has found that the fleet
// has no entries. Until then it may know no more than the few brokers whose heartbeats it received.
func (r *Registry) Synced() bool { return r.synced }
