package rollout

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// leasePoll is how soon a step is wanted again while only the lease or the grant is missing.
const leasePoll = 100 * time.Millisecond

// Rollout is the duty's state machine. After each input other than Step, Step is to be called at Deadline, which may be at
// once.
type Rollout struct {
	options Options
	holder  holder
	targets targets
	brokers map[string]*broker // by instance id
	paces   map[string]*pace   // by service

	steps     uint64
	lastToken uint64
	deadline  core.Time
}

// New returns a machine that has ordered nothing yet.
func New(options Options) *Rollout {
	return &Rollout{
		options:  options,
		holder:   holder{lease: options.Lease, thaw: options.Thaw},
		brokers:  map[string]*broker{},
		paces:    map[string]*pace{},
		deadline: core.Never,
	}
}

// Deadline is when Step is to be called at the latest; core.Never: only when the situation changes.
func (r *Rollout) Deadline() core.Time { return r.deadline }

// Step looks at the situation and goes on with what is due. It is to be called at Deadline and whenever headship, the
// targets, the grant or the brokers change.
func (r *Rollout) Step(now core.Time, s *Situation) []core.Output {
	r.targets.note(s.Targets)
	r.deadline = core.Never
	if !r.holder.observe(now, s) {
		clear(r.brokers)
		return nil
	}
	r.steps++
	r.observeBrokers(now, s.Instances)
	outputs := r.advance(now, s, nil)
	pending := r.pending()
	r.startPending(now, s, pending)
	outputs = r.advanceClaims(now, s, outputs)
	outputs = r.keepGrant(now, s, len(pending) > 0, outputs)
	r.planNext(now, s, len(pending) > 0)
	return outputs
}

// observeBrokers takes in the brokers known, and forgets those that have gone.
func (r *Rollout) observeBrokers(now core.Time, instances []*nodepb.Instance) {
	for _, instance := range instances {
		if instance.State == nodepb.InstanceState_GONE || len(instance.Models) == 0 {
			continue
		}
		b := r.brokers[instance.Id]
		if b == nil {
			b = newBroker(instance)
			r.brokers[instance.Id] = b
		}
		b.instance = instance
		b.seen = r.steps
		if b.strayMark() && now >= b.strayAt() {
			r.adopt(now, b)
		}
	}
	for id, b := range r.brokers {
		if b.seen != r.steps {
			delete(r.brokers, id)
		}
	}
}

// adopt has the report of a broker asked that a former holder marked, and so may have ordered, once none of that holder's
// orders can still come.
func (r *Rollout) adopt(now core.Time, b *broker) {
	b.marked = true
	b.markedAt = now
	b.doubt(max(now, r.holder.headSince+LeaseLength))
	for _, model := range b.instance.Models {
		b.model, b.version = model.Name, max(r.targets.newest(model.Name), 1)
		if model.Version < b.version {
			return
		}
	}
}

// advance lets each broker that something is under way at go on.
func (r *Rollout) advance(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	for _, b := range r.ordered() {
		outputs = r.advanceBroker(now, s, b, outputs)
	}
	return outputs
}

// advanceClaims marks the brokers that were claimed and are covered by the grant already.
func (r *Rollout) advanceClaims(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	for _, b := range r.ordered() {
		if b.phase == claiming {
			outputs = r.advanceBroker(now, s, b, outputs)
		}
	}
	return outputs
}

// ordered lists the brokers at which something is under way, in a fixed order.
func (r *Rollout) ordered() []*broker {
	var list []*broker
	for _, b := range r.brokers {
		if b.busy() {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, compareHash)
	return list
}

func compareHash(a, b *broker) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.instance.Id, b.instance.Id))
}

func (r *Rollout) advanceBroker(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	if b.phase >= ordering && b.token == 0 && b.has() {
		outputs = r.finish(now, b, outputs) // a heartbeat told of it
	}
	if b.phase == claiming && r.holder.mayOrder(now, s, b.instance.Id) {
		return r.mark(now, b, outputs)
	}
	if !b.busy() || now < b.deadline() {
		return outputs
	}
	if b.token != 0 {
		r.unanswered(now, b)
		return outputs
	}
	switch b.phase {
	case claiming:
		b.phase = waiting
	case marking:
		b.phase = settling
		b.nextAt = now + settleTime
	case settling:
		return r.order(now, s, b, outputs)
	case loading, unsure:
		return r.askReport(now, b, outputs)
	}
	return outputs
}

// unanswered ends a call whose end the shell never reported.
func (r *Rollout) unanswered(now core.Time, b *broker) {
	b.token = 0
	if b.phase == ordering {
		b.doubt(now)
		return
	}
	b.nextAt = now
}

// claim has the grant name a broker, so that whoever becomes head after this node knows that it may have been ordered.
func (r *Rollout) claim(now core.Time, b *broker, lacking need) {
	b.model, b.version = lacking.model, lacking.version
	b.phase = claiming
	b.nextAt = now + claimTimeout
	r.holder.claim(b.instance.Id)
}

// mark takes a broker out of service.
func (r *Rollout) mark(now core.Time, b *broker, outputs []core.Output) []core.Output {
	b.phase = marking
	b.marked = true
	b.markedAt = now
	b.nextAt = now + markTimeout
	return append(outputs, core.MarkLoading{InstanceID: b.instance.Id, FencingToken: r.holder.fence})
}

// unmark puts a broker back into service.
func (r *Rollout) unmark(now core.Time, b *broker, outputs []core.Output) []core.Output {
	if !b.marked {
		return outputs
	}
	b.marked = false
	b.unmarkedAt = now
	return append(outputs, core.MarkLoading{InstanceID: b.instance.Id})
}

// order sends the order to a broker that is marked, where an order may leave now. Where a former one may have been taken, the
// report is asked first.
func (r *Rollout) order(now core.Time, s *Situation, b *broker, outputs []core.Output) []core.Output {
	if b.inDoubt {
		b.phase = unsure
		return r.askReport(now, b, outputs)
	}
	lacking, any := r.targets.needOf(b)
	if !any {
		b.phase = waiting
		return r.unmark(now, b, outputs)
	}
	switch id := b.instance.Id; {
	case r.holder.barred(now, id):
		b.postpone(now)
		return r.unmark(now, b, outputs)
	case !r.holder.leads(now, s):
		b.nextAt = now + leasePoll
		return outputs
	case !r.holder.covers(id):
		r.claim(now, b, lacking)
		return outputs
	}
	b.model, b.version = lacking.model, lacking.version
	b.phase = ordering
	b.token = r.nextToken()
	b.askedAt = now
	r.holder.lastOrder = now
	return append(outputs, core.SendOrder{
		Token:      b.token,
		InstanceID: b.instance.Id,
		Address:    b.instance.Address,
		Body:       versionOrder(b.model, b.version, r.holder.name, r.holder.fence),
		ValidUntil: s.leaseEnd(),
	})
}

func (r *Rollout) askReport(now core.Time, b *broker, outputs []core.Output) []core.Output {
	b.token = r.nextToken()
	b.askedAt = now
	return append(outputs, core.FetchReport{Token: b.token, InstanceID: b.instance.Id, Address: b.instance.Address})
}

func (r *Rollout) nextToken() uint64 {
	r.lastToken++
	return r.lastToken
}

// keepGrant takes the grant where it is needed, and gives it back where nothing is left to do.
func (r *Rollout) keepGrant(now core.Time, s *Situation, pending bool, outputs []core.Output) []core.Output {
	if pending || r.anyBusy() {
		return r.holder.takeGrant(now, s, outputs)
	}
	return r.holder.release(now, s, outputs)
}

func (r *Rollout) anyBusy() bool {
	for _, b := range r.brokers {
		if b.busy() {
			return true
		}
	}
	return false
}

// planNext sets the deadline.
func (r *Rollout) planNext(now core.Time, s *Situation, pending bool) {
	busy := false
	for _, b := range r.brokers {
		r.wantBy(b.deadline())
		switch {
		case b.busy():
			busy = true
		case b.retryAt > now:
			r.wantBy(b.retryAt)
		case b.strayMark():
			r.wantBy(b.strayAt())
		}
	}
	switch {
	case pending:
		r.wantBy(now + leasePoll)
	case !pending && !busy:
		r.wantBy(max(now, min(r.holder.releaseAt(), r.holder.closeAt(s))))
	}
}

func (r *Rollout) wantBy(at core.Time) { r.deadline = min(r.deadline, at) }
