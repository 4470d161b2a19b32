package rollout

import (
	"encoding/json"
	"net/http"

	"kestrelspread/internal/must"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// versionOrderBody is the body of an order with op = version. Source: PROTOCOL.md, "Requests".
type versionOrderBody struct {
	Operation string `json:"op"`
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Mode      string `json:"mode"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func versionOrder(model string, version uint64, holder string, fence uint64) []byte {
	body, err := json.Marshal(versionOrderBody{
		Operation: "version", Model: model, Version: version, Mode: "wait", Holder: holder, Fence: fence,
	})
	must.Hold(err == nil, "an order can be written as JSON")
	return body
}

// MarkDone takes the confirmation of all nodes in touch that a broker is marked.
func (r *Rollout) MarkDone(now core.Time, instance string) {
	b := r.brokers[instance]
	if b == nil || b.phase != marking {
		return
	}
	b.phase = quiescing
	b.phaseDeadline = now + quiesceTime
	r.wakeBy(b.phaseDeadline)
}

// GrantDone takes the end of a SubmitCommand.
func (r *Rollout) GrantDone(now core.Time, result *nodepb.CommandResult) {
	r.leaseHolder.submitDone(now, result)
	r.wakeBy(now)
}

// OrderDone takes the end of an order: the broker's status, or an error where no answer came. ErrNotSent in its chain says
// that certainly nothing was sent.
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

func (r *Rollout) orderAnswered(now core.Time, b *broker, status int) []core.Output {
	switch status {
	case http.StatusAccepted:
		b.phase = loading
		b.orderUncertain = true
		b.failures = 0
		b.reportInterval = minReportInterval
		b.phaseDeadline = now + firstReportDelay
		b.conclusiveAt = now + maxReportAge
		return nil
	case http.StatusOK:
		return r.finish(now, b, nil)
	case http.StatusConflict:
		b.verifyAfter(now)
		return nil
	case http.StatusPreconditionFailed:
		r.leaseHolder.fenceSuperseded(now)
	case http.StatusMisdirectedRequest, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// Turned away: another broker has the address, or the version is not named there yet.
	default:
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
		r.scheduleReport(now, b)
		return nil
	case b.callSentAt < b.conclusiveAt: // it may be from before the order was taken
		r.scheduleReport(now, b)
		return nil
	default: // idle; any order would show by now: it was not taken
		b.orderUncertain = false
		b.backOff(now)
		return r.unmark(now, b, nil)
	}
}

// reportFailed asks again, and gives a broker up for a while that stays out of reach.
func (r *Rollout) reportFailed(now core.Time, b *broker) []core.Output {
	b.failures++
	if b.failures < 3 {
		r.scheduleReport(now, b)
		return nil
	}
	b.backOff(now)
	return r.unmark(now, b, nil)
}

func (r *Rollout) scheduleReport(now core.Time, b *broker) {
	b.phaseDeadline = now + b.reportInterval
	b.reportInterval = min(b.reportInterval*5/4, maxReportInterval)
}

// finish ends a broker's turn: it has the version. Where a newer one was named meanwhile, the broker goes on to that at once, as
// nothing runs on it now.
func (r *Rollout) finish(now core.Time, b *broker, outputs []core.Output) []core.Output {
	if b.phase == loading {
		r.estimatorOf(b).observe(now - b.markedAt)
	}
	b.observeVersion(b.targetModel, b.targetVersion)
	b.orderUncertain = false
	b.failures = 0
	b.retryAt = 0
	outputs = append(outputs, core.LoadedVersion{InstanceID: b.instance.Id, Model: b.targetModel, Version: b.observedVersions[b.targetModel]})
	if missing, found := r.targets.mostUrgent(b); found && b.marked {
		b.targetModel, b.targetVersion = missing.model, missing.version
		b.phase = quiescing
		b.markedAt, b.phaseDeadline = now, now
		return outputs
	}
	b.phase = idle
	return r.unmark(now, b, outputs)
}

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
