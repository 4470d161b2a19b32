package registry

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// record is what this node knows of one incarnation of a broker.
type record struct {
	// reported is what the broker reports of itself: the content of its newest heartbeat that
	// changed anything, with the highest state and the highest version of each model ever reported.
	// The message is never changed in place, as outputs may hold it.
	reported *nodepb.Instance
	// sequence is that of the newest heartbeat, also if it changed nothing.
	sequence uint64

	// revision orders what nodes add to the broker's report, which is the loading mark alone.
	revision     uint64
	loadingToken uint64    // fencing token of the loading mark; 0: no mark
	loadingSince core.Time // when this node first saw that mark

	learnedAt       core.Time // when this node first knew of the broker
	lastHeartbeatAt core.Time // when this node last handled a heartbeat of it, direct or forwarded
	refutedAt       core.Time // when this node last refuted that it is unresponsive
	goneAt          core.Time // when it became gone, if it is

	unresponsive      bool
	unresponsiveSince core.Time // time of the last contact, if unresponsive
	warmingUpUntil    core.Time // end of its slow start

	// savedState is the highest state on this node's disk; READY, the lowest, also stands for none.
	savedState nodepb.InstanceState
	// leaveConfirmed: all available nodes hold that it is draining or gone, and a majority of the
	// voters have it on their disks.
	leaveConfirmed bool

	digest     uint64    // contribution to the digest of its topic; 0 if gone
	tableEntry *Instance // its entry in the next table; nil if gone
}

func (r *record) state() nodepb.InstanceState { return r.reported.State }

func (r *record) gone() bool { return r.reported.State == nodepb.InstanceState_GONE }

// loading reports whether the broker has a loading mark that has not expired.
func (r *record) loading(now core.Time) bool {
	return r.loadingToken != 0 && now-r.loadingSince < loadingTimeout
}

// message returns the record as sent to other nodes, with times relative to now.
func (r *record) message(now core.Time) *nodepb.Instance {
	message := shallowCopy(r.reported)
	message.Sequence = r.sequence
	message.Revision = r.revision
	message.LoadingFencingToken = r.loadingToken
	message.WarmUpRemainingMs = core.Milliseconds(r.warmingUpUntil - now)
	message.SinceHeartbeatMs = r.unresponsiveMilliseconds(now)
	return message
}

// unresponsiveMilliseconds is the time since the last contact, 0 for a responsive broker. For a gone
// broker it is the time since it became gone.
func (r *record) unresponsiveMilliseconds(now core.Time) uint32 {
	switch {
	case r.gone():
		return core.Milliseconds(now - r.goneAt)
	case r.unresponsive:
		return max(core.Milliseconds(now-r.unresponsiveSince), 1)
	default:
		return 0
	}
}

// mergeState raises the state to that of the message, if it is later.
func (r *record) mergeState(now core.Time, incoming *nodepb.Instance) {
	if incoming.State <= r.reported.State {
		return
	}
	r.reported = shallowCopy(r.reported)
	r.reported.State = incoming.State
	r.leaveConfirmed = false
	if r.gone() {
		r.goneAt = now - core.Duration(incoming.SinceHeartbeatMs)
	}
}

// mergeContent takes over the broker's report if it comes from a newer heartbeat. An older one can
// still raise versions of models.
func (r *record) mergeContent(now core.Time, incoming *nodepb.Instance) {
	if incoming.Sequence <= r.sequence {
		r.raiseVersions(incoming.Models)
		return
	}
	r.sequence = incoming.Sequence
	r.warmingUpUntil = now + core.Duration(incoming.WarmUpRemainingMs)
	if sameContent(r.reported, incoming) {
		return
	}
	previous := r.reported
	r.reported = shallowCopy(incoming)
	r.reported.State = previous.State
	r.reported.Models = slices.Clone(incoming.Models)
	r.raiseVersions(previous.Models)
}

// raiseVersions raises the versions of models that the broker has. Within one incarnation they only
// rise, so that a heartbeat in flight while new weights were loaded does not revert them.
func (r *record) raiseVersions(models []*nodepb.ModelOnInstance) {
	for _, model := range models {
		r.raiseVersion(model.Name, model.Version)
	}
}

func (r *record) raiseVersion(name string, version uint64) {
	index := slices.IndexFunc(r.reported.Models, func(model *nodepb.ModelOnInstance) bool { return model.Name == name })
	if index < 0 || r.reported.Models[index].Version >= version {
		return
	}
	raised := &nodepb.ModelOnInstance{Name: name, Version: version, Adapters: r.reported.Models[index].Adapters}
	r.reported = shallowCopy(r.reported)
	r.reported.Models = slices.Clone(r.reported.Models)
	r.reported.Models[index] = raised
}

// mergeRevision takes over the newer loading mark; of two under the same revision the one with the
// higher fencing token.
func (r *record) mergeRevision(now core.Time, incoming *nodepb.Instance) {
	older := incoming.Revision < r.revision
	sameOrLower := incoming.Revision == r.revision && incoming.LoadingFencingToken <= r.loadingToken
	if older || sameOrLower {
		return
	}
	r.revision = incoming.Revision
	r.setLoadingToken(now, incoming.LoadingFencingToken)
}

// setLoadingToken sets the loading mark; token 0 clears it.
func (r *record) setLoadingToken(now core.Time, token uint64) {
	if r.loadingToken == token {
		return
	}
	r.loadingToken = token
	r.loadingSince = now
}

// sameContent reports whether two heartbeats report the same, apart from state, sequence and warm-up.
func sameContent(a, b *nodepb.Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Software == b.Software &&
		a.Slots == b.Slots && a.Stage == b.Stage && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b *nodepb.ModelOnInstance) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// shallowCopy copies a broker's report, but not its models, which are never changed in place, and
// not what nodes add to it.
func shallowCopy(instance *nodepb.Instance) *nodepb.Instance {
	return &nodepb.Instance{
		Id: instance.Id, Service: instance.Service, Address: instance.Address, Zone: instance.Zone,
		Software: instance.Software, Slots: instance.Slots, State: instance.State, Stage: instance.Stage,
		Models: instance.Models,
	}
}

// deepCopy returns a copy that the caller may change.
func deepCopy(instance *nodepb.Instance) *nodepb.Instance {
	return proto.Clone(instance).(*nodepb.Instance)
}
