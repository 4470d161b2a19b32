package registry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// topicKey names the brokers of one service in one zone, which have a home in common.
type topicKey struct{ service, zone string }

// rendezvousKey is the key under which nodes are ranked as the topic's home.
func (k topicKey) rendezvousKey() string { return k.service + "\x00" + k.zone }

func keyOf(instance *nodepb.Instance) topicKey {
	return topicKey{service: instance.Service, zone: instance.Zone}
}

// topic is what this node keeps of the brokers of one service in one zone.
type topic struct {
	key       topicKey
	records   map[string]*record // by instance id, those that have gone included
	digestSum uint64             // over the records that have not gone; order does not matter
	liveCount uint32

	home                  *peer     // who takes its heartbeats, by the members known
	homeSince             core.Time // since when that is this node
	selfPreservationSince core.Time // when this node began to doubt that so many went silent; 0: it does not
}

func (t *topic) digestMessage() *nodepb.TopicDigest {
	return &nodepb.TopicDigest{Service: t.key.service, Zone: t.key.zone, Digest: digestBytes(t.digestSum), Count: t.liveCount}
}

func digestBytes(sum uint64) []byte { return binary.BigEndian.AppendUint64(nil, sum) }

// sameDigest reports whether a digest of another node is that of the topic; a topic not known here counts as empty.
func sameDigest(own *topic, other *nodepb.TopicDigest) bool {
	if own == nil {
		return other.Count == 0
	}
	return own.liveCount == other.Count && string(digestBytes(own.digestSum)) == string(other.Digest)
}

// topicOf returns the topic of a broker, made if it is new.
func (r *Registry) topicOf(now core.Time, key topicKey) *topic {
	if known := r.topics[key]; known != nil {
		return known
	}
	made := &topic{key: key, records: map[string]*record{}, homeSince: now}
	made.home = r.bestHome(key)
	r.topics[key] = made
	r.scheduleLivenessCheck(now, made)
	return made
}

// updateTopic files a record under its topic and brings digests and the table up to date. previous is the topic in which
// it was, nil for a new one. It reports whether anything that other nodes are to know has changed.
func (r *Registry) updateTopic(now core.Time, rec *record, previous *topic) bool {
	current := r.topicOf(now, keyOf(rec.reported))
	sum := rec.computeDigest()
	if previous == current && sum == rec.digest {
		return false
	}
	if previous != nil {
		r.removeFromDigest(previous, rec)
		if previous != current {
			delete(previous.records, rec.reported.Id)
		}
	}
	rec.digest = sum
	current.records[rec.reported.Id] = rec
	r.addToDigest(current, rec)
	r.refreshTableEntry(now, rec)
	return true
}

// remove drops a record for good.
func (r *Registry) remove(rec *record) {
	key := keyOf(rec.reported)
	holder := r.topics[key]
	r.removeFromDigest(holder, rec)
	delete(holder.records, rec.reported.Id)
	delete(r.records, rec.reported.Id)
	if len(holder.records) == 0 {
		delete(r.topics, key)
	}
	r.removeTableEntry(rec)
}

func (r *Registry) addToDigest(t *topic, rec *record) {
	if rec.digest == 0 {
		return
	}
	t.digestSum += rec.digest
	t.liveCount++
	r.digestSum += rec.digest
	r.liveCount++
}

func (r *Registry) removeFromDigest(t *topic, rec *record) {
	if rec.digest == 0 {
		return
	}
	t.digestSum -= rec.digest
	t.liveCount--
	r.digestSum -= rec.digest
	r.liveCount--
}

// computeDigest is a hash of all that nodes must agree on; the sequence and the times are not among it, as they move with each
// heartbeat. It is 0 for a broker that has gone.
func (r *record) computeDigest() uint64 {
	if r.gone() {
		return 0
	}
	var buffer [256]byte
	data := r.appendDigest(buffer[:0])
	return max(xxhash.Sum64(data), 1)
}

func (r *record) appendDigest(data []byte) []byte {
	told := r.reported
	for _, text := range [...]string{told.Id, told.Service, told.Address, told.Zone, told.Software, told.Stage} {
		data = appendText(data, text)
	}
	data = binary.AppendUvarint(data, uint64(told.Slots))
	data = binary.AppendUvarint(data, uint64(told.State))
	data = binary.AppendUvarint(data, r.revision)
	data = binary.AppendUvarint(data, r.loadingToken)
	data = appendFlag(data, r.unresponsive)
	for _, model := range told.Models {
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
