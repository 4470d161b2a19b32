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
	Op      string `json:"op"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Mode    string `json:"mode"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
}

func versionOrder(model string, version uint64, holder string, fence uint64) []byte {
	body, err := json.Marshal(versionOrderBody{
		Op: "version", Model: model, Version: version, Mode: "wait", Holder: holder, Fence: fence,
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
	b.phase = settling
	b.nextAt = now + settleTime
	r.wantBy(b.nextAt)
}

// GrantDone takes the end of a SubmitCommand.
func (r *Rollout) GrantDone(now core.Time, result *nodepb.CommandResult) {
	r.holder.submitted(now, result)
	r.wantBy(now)
}

// OrderDone takes the end of an order: the broker's status, or an error where no answer came. ErrNotSent in its chain says
// that certainly nothing was sent.
func (r *Rollout) OrderDone(now core.Time, token uint64, status int, err error) []core.Output {
	b := r.byToken(token)
	if b == nil || b.phase != ordering {
		return nil
	}
	b.token = 0
	r.wantBy(now)
	if err != nil {
		return r.orderFailed(now, b, err)
	}
	return r.orderAnswered(now, b, status)
}

func (r *Rollout) orderFailed(now core.Time, b *broker, err error) []core.Output {
	if !wasNotSent(err) {
		b.doubt(now)
		return nil
	}
	b.postpone(now)
	return r.unmark(now, b, nil)
}

func (r *Rollout) orderAnswered(now core.Time, b *broker, status int) []core.Output {
	switch status {
	case http.StatusAccepted:
		b.phase = loading
		b.inDoubt = true
		b.failures = 0
		b.pause = reportPause
		b.nextAt = now + firstReport
		b.showsAt = now + reportLag
		return nil
	case http.StatusOK:
		return r.finish(now, b, nil)
	case http.StatusConflict:
		b.doubt(now)
		return nil
	case http.StatusPreconditionFailed:
		r.holder.superseded(now)
	case http.StatusMisdirectedRequest, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// Turned away: another broker has the address, or the version is not named there yet.
	default:
		b.doubt(now)
		return nil
	}
	b.postpone(now)
	return r.unmark(now, b, nil)
}

// ReportDone takes a broker's report, or an error where none came.
func (r *Rollout) ReportDone(now core.Time, token uint64, report *Report, err error) []core.Output {
	b := r.byToken(token)
	if b == nil {
		return nil
	}
	b.token = 0
	r.wantBy(now)
	if err != nil || report == nil {
		return r.reportFailed(now, b)
	}
	for _, model := range report.Models {
		b.hasLoaded(model.Name, model.Version)
	}
	switch {
	case report.version(b.model) >= b.version:
		return r.finish(now, b, nil)
	case report.Busy:
		b.phase = loading
		r.askAgain(now, b)
		return nil
	case b.askedAt < b.showsAt: // it may be from before the order was taken
		r.askAgain(now, b)
		return nil
	default: // idle; any order would show by now: it was not taken
		b.inDoubt = false
		b.postpone(now)
		return r.unmark(now, b, nil)
	}
}

// reportFailed asks again, and gives a broker up for a while that stays out of reach.
func (r *Rollout) reportFailed(now core.Time, b *broker) []core.Output {
	b.failures++
	if b.failures < 3 {
		r.askAgain(now, b)
		return nil
	}
	b.postpone(now)
	return r.unmark(now, b, nil)
}

func (r *Rollout) askAgain(now core.Time, b *broker) {
	b.nextAt = now + b.pause
	b.pause = min(b.pause*5/4, longestReportPause)
}

// finish ends a broker's turn: it has the version. Where a newer one was named meanwhile, the broker goes on to that at once, as
// nothing runs on it now.
func (r *Rollout) finish(now core.Time, b *broker, outputs []core.Output) []core.Output {
	if b.phase == loading {
		r.paceOf(b).learn(now - b.markedAt)
	}
	b.hasLoaded(b.model, b.version)
	b.inDoubt = false
	b.failures = 0
	b.retryAt = 0
	outputs = append(outputs, core.VersionLoaded{InstanceID: b.instance.Id, Model: b.model, Version: b.loaded[b.model]})
	if lacking, any := r.targets.needOf(b); any && b.marked {
		b.model, b.version = lacking.model, lacking.version
		b.phase = settling
		b.markedAt, b.nextAt = now, now
		return outputs
	}
	b.phase = waiting
	return r.unmark(now, b, outputs)
}

func (r *Rollout) byToken(token uint64) *broker {
	if token == 0 {
		return nil
	}
	for _, b := range r.brokers {
		if b.token == token {
			return b
		}
	}
	return nil
}
