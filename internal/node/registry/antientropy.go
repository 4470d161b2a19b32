package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Repair of what got lost. Each second a node sends the digest of all that it knows to another one. Where theirs
// differs, that one lists its digests by topic, the node asks for the topics that differ, from it and from their homes, and merges the
// answer. A poll without digests asks for everything.

// pollPeer compares this node's knowledge with another's.
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

// recordPollAnswer ends the wait for the answer of the node polled last.
func (r *Registry) recordPollAnswer(now core.Time, from core.Peer) {
	if r.polledPeer != nil && r.polledPeer.id == from.NodeID {
		r.polledPeer = nil
		r.nextPoll = now + pollInterval
	}
}

// pollInitial asks two nodes at a time for everything until one has answered.
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

// nextOther goes round the other nodes.
func (r *Registry) nextOther() *peer {
	if r.pollCursor == 0 {
		r.pollCursor = 1 + r.random.IntN(len(r.others))
	}
	r.pollCursor++
	return r.others[r.pollCursor%len(r.others)]
}

// comparisonPeer picks a node at random, of whatever zone, so that no zone as a whole falls behind.
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

// fullDigest covers all topics; it goes under no service and no zone.
func (r *Registry) fullDigest() *nodepb.TopicDigest {
	return &nodepb.TopicDigest{Digest: digestBytes(r.digestSum), Count: r.liveCount}
}

func isFullDigest(digest *nodepb.TopicDigest) bool { return digest.Service == "" && digest.Zone == "" }

func (r *Registry) sendPoll(address string, digests []*nodepb.TopicDigest) {
	poll := &nodepb.RegistryPoll{Topics: digests}
	r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_RegistryPoll{RegistryPoll: poll}})
}

func (r *Registry) sendSnapshot(address string, snapshot *nodepb.RegistrySnapshot) {
	r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_RegistrySnapshot{RegistrySnapshot: snapshot}})
}

// receivePoll answers a comparison.
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

// answerFullDigest repeats an equal digest, and lists the topics against one that differs.
func (r *Registry) answerFullDigest(address string, theirs *nodepb.TopicDigest) {
	own := r.fullDigest()
	if own.Count == theirs.Count && string(own.Digest) == string(theirs.Digest) {
		r.sendSnapshot(address, &nodepb.RegistrySnapshot{Topics: []*nodepb.TopicDigest{own}})
		return
	}
	r.sendSnapshot(address, &nodepb.RegistrySnapshot{Topics: r.listTopics()})
}

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
	if byService := compareText(a.Service, b.Service); byService != 0 {
		return byService
	}
	return compareText(a.Zone, b.Zone)
}

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

// sendTopics sends the brokers of the topics that differ from the digests given, with those that have gone.
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

func (r *Registry) sendInstances(address string, list []*nodepb.Instance) {
	sortByID(list)
	for part := range slices.Chunk(list, maxInstancesPerMessage) {
		r.sendSnapshot(address, &nodepb.RegistrySnapshot{Instances: part})
	}
}

// receiveSnapshot merges brokers, or asks for those of the topics that differ.
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

// recordInitialAnswer ends the first polls at an answer with brokers. An empty one may come from a node that has just
// started as well, so another is asked at once.
func (r *Registry) recordInitialAnswer(now core.Time, snapshot *nodepb.RegistrySnapshot) {
	if r.synced {
		return
	}
	if len(snapshot.Instances) == 0 {
		r.nextPoll = min(r.nextPoll, now)
		return
	}
	r.synced = true
	r.nextPoll = now + pollInterval
}

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

// differingDigests lists this node's digests of the topics in which another one differs.
func (r *Registry) differingDigests(theirs []*nodepb.TopicDigest) []*nodepb.TopicDigest {
	var list []*nodepb.TopicDigest
	for _, their := range theirs {
		own := r.topics[topicKey{their.Service, their.Zone}]
		switch {
		case sameDigest(own, their):
		case own == nil:
			list = append(list, &nodepb.TopicDigest{Service: their.Service, Zone: their.Zone})
		default:
			list = append(list, own.digestMessage())
		}
	}
	return list
}

// requestTopics asks for topics from the node that differs and from their homes, which alone know who is silent.
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
