package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// topicKey identifies a topic: the brokers of one service in one zone.
type topicKey struct{ service, zone string }

// rendezvousKey is the key under which nodes are ranked as the topic's home. All nodes must use the
// same, also those of other releases.
func (k topicKey) rendezvousKey() string { return k.service + "\x00" + k.zone }

func keyOf(instance *nodepb.Instance) topicKey {
	return topicKey{service: instance.Service, zone: instance.Zone}
}

// topic is what this node knows of the brokers of one service in one zone.
type topic struct {
	key       topicKey
	records   map[string]*record // by instance id, tombstones included
	digestSum uint64             // sum of the digests of its live records, so that their order doesn't matter
	liveCount uint32             // records that are not tombstones

	home                  *peer     // receives its heartbeats, by the members known
	homeSince             core.Time // when this node became its home, if it is; else when the topic was created
	selfPreservationSince core.Time // 0: not in self-preservation
}

func (t *topic) digestMessage() *nodepb.TopicDigest {
	return &nodepb.TopicDigest{Service: t.key.service, Zone: t.key.zone, Digest: digestBytes(t.digestSum), Count: t.liveCount}
}

func digestBytes(sum uint64) []byte { return binary.BigEndian.AppendUint64(nil, sum) }

// sameDigest reports whether another node's digest of a topic equals this node's. An unknown topic, nil,
// counts as empty.
func sameDigest(own *topic, other *nodepb.TopicDigest) bool {
	if own == nil {
		return other.Count == 0
	}
	return own.liveCount == other.Count && string(digestBytes(own.digestSum)) == string(other.Digest)
}

// topicOf returns a topic, which it creates if it is new.
func (r *Registry) topicOf(now core.Time, key topicKey) *topic {
	if known := r.topics[key]; known != nil {
		return known
	}
	created := &topic{key: key, records: map[string]*record{}, homeSince: now}
	created.home = r.bestHome(key)
	r.topics[key] = created
	r.scheduleLivenessCheck(now, created)
	return created
}

// updateTopic brings a changed record's topic, the digests and the table up to date. previous is the
// topic that held the record before the change, nil for a new record. It reports whether anything
// changed that other nodes must learn.
func (r *Registry) updateTopic(now core.Time, rec *record, previous *topic) bool {
	current := r.topicOf(now, keyOf(rec.reported))
	digest := rec.computeDigest()
	if previous == current && digest == rec.digest {
		return false
	}
	if previous != nil {
		r.removeFromDigest(previous, rec)
		if previous != current {
			delete(previous.records, rec.reported.Id)
		}
	}
	rec.digest = digest
	current.records[rec.reported.Id] = rec
	r.addToDigest(current, rec)
	r.refreshTableEntry(now, rec)
	return true
}

// remove drops a record, and its topic with the last one.
func (r *Registry) remove(rec *record) {
	key := keyOf(rec.reported)
	t := r.topics[key]
	r.removeFromDigest(t, rec)
	delete(t.records, rec.reported.Id)
	delete(r.records, rec.reported.Id)
	if len(t.records) == 0 {
		delete(r.topics, key)
	}
	r.removeTableEntry(rec)
}

// addToDigest adds a record to the digests of its topic and of the registry. Tombstones do not count.
func (r *Registry) addToDigest(t *topic, rec *record) {
	if rec.digest == 0 {
		return
	}
	t.digestSum += rec.digest
	t.liveCount++
	r.digestSum += rec.digest
	r.liveCount++
}

// removeFromDigest is the reverse of addToDigest, by the digest with which the record was added.
func (r *Registry) removeFromDigest(t *topic, rec *record) {
	if rec.digest == 0 {
		return
	}
	t.digestSum -= rec.digest
	t.liveCount--
	r.digestSum -= rec.digest
	r.liveCount--
}

// computeDigest returns a hash of all that nodes must agree on. The sequence and the times are not
// part of it, as they change with each heartbeat. It is 0 for a tombstone, and for no other record.
func (r *record) computeDigest() uint64 {
	if r.gone() {
		return 0
	}
	var buffer [256]byte
	data := r.appendDigest(buffer[:0])
	return max(xxhash.Sum64(data), 1)
}

func (r *record) appendDigest(data []byte) []byte {
	reported := r.reported
	texts := [...]string{
		reported.Id, reported.Service, reported.Address, reported.Zone, reported.Software, reported.Stage,
	}
	for _, text := range texts {
		data = appendText(data, text)
	}
	data = binary.AppendUvarint(data, uint64(reported.Slots))
	data = binary.AppendUvarint(data, uint64(reported.State))
	data = binary.AppendUvarint(data, r.revision)
	data = binary.AppendUvarint(data, r.loadingToken)
	data = appendFlag(data, r.unresponsive)
	for _, model := range reported.Models {
		data = appendText(data, model.Name)
		data = binary.AppendUvarint(data, model.Version)
		for _, adapter := range model.Adapters {
			data = appendText(data, adapter)
		}
	}
	return data
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

func appendFlag(data []byte, flag bool) []byte {
	if flag {
		return append(data, 1)
	}
	return append(data, 0)
}
