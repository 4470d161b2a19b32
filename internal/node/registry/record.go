package registry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// record is what this node knows of one life of a broker.
type record struct {
	// reported is the broker's own word: the content of its newest heartbeat that said anything new, with the highest state
	// and the highest version of each model ever told. Never changed in place.
	reported *nodepb.Instance
	// sequence is that of the newest heartbeat, also where it said nothing new.
	sequence uint64

	// revision orders what nodes set besides the heartbeat: the fence of the loading mark, 0 without one.
	revision     uint64
	loadingToken uint64
	loadingSince core.Time

	learnedAt       core.Time // when this node first knew of the broker
	lastHeartbeatAt core.Time // when this node last took a heartbeat of it, itself or by a forward
	refutedAt       core.Time // when this node last contradicted that it is silent
	goneAt          core.Time // when it went, where it has

	unresponsive      bool
	unresponsiveSince core.Time // last heartbeat before the silence
	warmingUpUntil    core.Time

	// leaveConfirmed: all nodes in touch hold that it is draining or gone.
	leaveConfirmed bool

	digest     uint64    // contribution to the digest of its topic; 0 where gone
	tableEntry *Instance // as in the table; nil where gone
}

func (r *record) state() nodepb.InstanceState { return r.reported.State }

func (r *record) gone() bool { return r.reported.State == nodepb.InstanceState_GONE }

// loading reports whether the loading mark is in force.
func (r *record) loading(now core.Time) bool {
	return r.loadingToken != 0 && now-r.loadingSince < loadingTimeout
}

// message is the record as other nodes are told of it, with times as of now.
func (r *record) message(now core.Time) *nodepb.Instance {
	message := shallowCopy(r.reported)
	message.Sequence = r.sequence
	message.Revision = r.revision
	message.LoadingFence = r.loadingToken
	message.ColdRemainingMs = milliseconds(r.warmingUpUntil - now)
	message.SilentMs = r.unresponsiveMilliseconds(now)
	return message
}

// unresponsiveMilliseconds is 0 for a broker that is heard; for one that has gone, the time since.
func (r *record) unresponsiveMilliseconds(now core.Time) uint32 {
	switch {
	case r.gone():
		return milliseconds(now - r.goneAt)
	case r.unresponsive:
		return max(milliseconds(now-r.unresponsiveSince), 1)
	default:
		return 0
	}
}

// mergeState raises the state.
func (r *record) mergeState(now core.Time, incoming *nodepb.Instance) {
	if incoming.State <= r.reported.State {
		return
	}
	r.reported = shallowCopy(r.reported)
	r.reported.State = incoming.State
	r.leaveConfirmed = false
	if r.gone() {
		r.goneAt = now - duration(incoming.SilentMs)
	}
}

// mergeContent takes what the broker says of itself if the heartbeat is newer than those known.
func (r *record) mergeContent(now core.Time, incoming *nodepb.Instance) {
	if incoming.Sequence <= r.sequence {
		r.raiseVersions(incoming.Models)
		return
	}
	r.sequence = incoming.Sequence
	r.warmingUpUntil = now + duration(incoming.ColdRemainingMs)
	if sameContent(r.reported, incoming) {
		return
	}
	before := r.reported
	r.reported = shallowCopy(incoming)
	r.reported.State = before.State
	r.reported.Models = slices.Clone(incoming.Models)
	r.raiseVersions(before.Models)
}

// raiseVersions raises the versions of models that the broker has. Within one life of a broker they only rise, so
// that a heartbeat that was on its way while new weights came does not undo them.
func (r *record) raiseVersions(models []*nodepb.ModelOnInstance) {
	for _, model := range models {
		r.raiseVersion(model.Name, model.Version)
	}
}

func (r *record) raiseVersion(name string, version uint64) {
	at := slices.IndexFunc(r.reported.Models, func(model *nodepb.ModelOnInstance) bool { return model.Name == name })
	if at < 0 || r.reported.Models[at].Version >= version {
		return
	}
	raised := &nodepb.ModelOnInstance{Name: name, Version: version, Adapters: r.reported.Models[at].Adapters}
	r.reported = shallowCopy(r.reported)
	r.reported.Models = slices.Clone(r.reported.Models)
	r.reported.Models[at] = raised
}

// mergeRevision takes the newer loading mark; of two under the same revision that with the higher fence.
func (r *record) mergeRevision(now core.Time, incoming *nodepb.Instance) {
	older := incoming.Revision < r.revision
	sameOrLower := incoming.Revision == r.revision && incoming.LoadingFence <= r.loadingToken
	if older || sameOrLower {
		return
	}
	r.revision = incoming.Revision
	r.setLoadingToken(now, incoming.LoadingFence)
}

func (r *record) setLoadingToken(now core.Time, fence uint64) {
	if r.loadingToken == fence {
		return
	}
	r.loadingToken = fence
	r.loadingSince = now
}

// sameContent reports whether two heartbeats say the same, apart from state, sequence and the cold start.
func sameContent(a, b *nodepb.Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Software == b.Software &&
		a.Slots == b.Slots && a.Stage == b.Stage && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b *nodepb.ModelOnInstance) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// shallowCopy copies a message but not its models, which are never changed in place.
func shallowCopy(instance *nodepb.Instance) *nodepb.Instance {
	return &nodepb.Instance{
		Id: instance.Id, Service: instance.Service, Address: instance.Address, Zone: instance.Zone,
		Software: instance.Software, Slots: instance.Slots, State: instance.State, Stage: instance.Stage,
		Models: instance.Models,
	}
}

// deepCopy is a deep copy, for callers outside of the package.
func deepCopy(instance *nodepb.Instance) *nodepb.Instance {
	return proto.Clone(instance).(*nodepb.Instance)
}

// milliseconds rounds a time span up; none is negative.
func milliseconds(span time.Duration) uint32 {
	if span <= 0 {
		return 0
	}
	const most = 1<<32 - 1
	return uint32(min((span+time.Millisecond-1)/time.Millisecond, most))
}

func duration(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
