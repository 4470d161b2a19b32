package rollout

import (
	"net/http"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// maxReportFailures is how many calls in a row may fail before a broker is left alone for a while.
const maxReportFailures = 3

// MarkDone takes the confirmation, by all reachable nodes, that a broker is marked.
func (r *Rollout) MarkDone(now core.Time, instance string) {
	b := r.brokers[instance]
	if b == nil || b.phase != marking {
		return
	}
	b.quiesce(now)
	r.wakeBy(b.phaseDeadline)
}

// GrantDone takes the result of a core.SubmitCommand.
func (r *Rollout) GrantDone(now core.Time, result *nodepb.CommandResult) {
	r.leaseHolder.submitDone(now, result)
	r.wakeBy(now)
}

// OrderDone takes the end of an order: the broker's HTTP status, or an error where no answer came.
// ErrNotSent in its chain says that certainly nothing was sent; after any other error the order may
// have been taken.
func (r *Rollout) OrderDone(now core.Time, token uint64, status int, err error) []core.Output {
	b := r.brokerByCall(token)
	if b == nil || b.phase != ordering {
		return nil
	}
	b.callToken = 0
	r.wakeBy(now)
	if err != nil {
		return r.orderFailed(now, b, err)
	}
	return r.orderAnswered(now, b, status)
}

func (r *Rollout) orderFailed(now core.Time, b *broker, err error) []core.Output {
	if !wasNotSent(err) {
		b.verifyAfter(now)
		return nil
	}
	b.backOff(now)
	return r.unmark(now, b, nil)
}

// orderAnswered judges the status of an answer. Any status that doesn't certainly tell whether the
// order was taken has the report polled: an order must not be repeated while one may be in
// progress.
func (r *Rollout) orderAnswered(now core.Time, b *broker, status int) []core.Output {
	switch status {
	case http.StatusAccepted:
		b.orderAccepted(now)
		return nil
	case http.StatusOK: // the broker has the version already
		return r.finish(now, b, nil)
	case http.StatusPreconditionFailed: // the broker has seen a higher fence
		r.leaseHolder.fenceSuperseded(now)
	case http.StatusMisdirectedRequest, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// Rejected: another broker has the address, or the version is not named there yet.
	default: // with 409: another order is being carried out
		b.verifyAfter(now)
		return nil
	}
	b.backOff(now)
	return r.unmark(now, b, nil)
}

// ReportDone takes a broker's report, or an error where none came.
func (r *Rollout) ReportDone(now core.Time, token uint64, report *Report, err error) []core.Output {
	b := r.brokerByCall(token)
	if b == nil {
		return nil
	}
	b.callToken = 0
	r.wakeBy(now)
	if err != nil || report == nil {
		return r.reportFailed(now, b)
	}
	for _, model := range report.Models {
		b.observeVersion(model.Name, model.Version)
	}
	switch {
	case report.version(b.targetModel) >= b.targetVersion:
		return r.finish(now, b, nil)
	case report.Busy:
		b.phase = loading
		b.scheduleReport(now)
		return nil
	case b.callSentAt < b.conclusiveAt: // the report may be from before the order was taken
		b.scheduleReport(now)
		return nil
	default: // not busy, and any order would show by now: none was taken
		b.orderUncertain = false
		b.backOff(now)
		return r.unmark(now, b, nil)
	}
}

// reportFailed polls again, and leaves a broker alone for a while that stays unreachable.
func (r *Rollout) reportFailed(now core.Time, b *broker) []core.Output {
	b.failures++
	if b.failures < maxReportFailures {
		b.scheduleReport(now)
		return nil
	}
	b.backOff(now)
	return r.unmark(now, b, nil)
}

// finish ends a broker's turn: it has the version. Where a newer one was named meanwhile, that one
// is ordered at once, as nothing runs on the broker now.
func (r *Rollout) finish(now core.Time, b *broker, outputs []core.Output) []core.Output {
	if b.phase == loading {
		r.estimatorOf(b).observe(now - b.markedAt)
	}
	b.observeVersion(b.targetModel, b.targetVersion)
	b.orderUncertain = false
	b.failures = 0
	b.retryAt = 0
	outputs = append(outputs, core.VersionLoaded{
		InstanceID: b.instance.Id,
		Model:      b.targetModel,
		Version:    b.observedVersions[b.targetModel],
	})
	if missing, found := r.targets.earliestMissing(b); found && b.marked {
		b.setTarget(missing)
		b.phase = quiescing
		b.markedAt = now
		b.phaseDeadline = now
		return outputs
	}
	b.phase = idle
	return r.unmark(now, b, outputs)
}

// brokerByCall is the broker that a call in flight is for; nil: the call's end is no longer
// awaited.
func (r *Rollout) brokerByCall(token uint64) *broker {
	if token == 0 {
		return nil
	}
	for _, b := range r.brokers {
		if b.callToken == token {
			return b
		}
	}
	return nil
}
