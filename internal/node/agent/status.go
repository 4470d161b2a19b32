package agent

import (
	"context"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/nodestatus"
	"kestrelspread/internal/node/routing"
)

// statusTimeout bounds the wait for the control loop. A node whose loop is behind answers with its name
// alone.
const statusTimeout = time.Second

// Status implements controlapi.Backend: GET /kestrelspread/status, which kestrelctl prints.
func (b backend) Status() any {
	answer := make(chan *nodestatus.Status, 1)
	b.agent.post(func(now core.Time) { answer <- b.agent.status(now) })
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	select {
	case status := <-answer:
		return status
	case <-ctx.Done():
		return &nodestatus.Status{Node: b.agent.settings.NodeName}
	}
}

// status collects the node's status. It runs on the control loop.
func (a *Agent) status(now core.Time) *nodestatus.Status {
	status := &nodestatus.Status{
		Node: a.settings.NodeName, ID: a.self.NodeId, Zone: a.self.Zone,
		Ready: a.ready(), StateIndex: a.control.State().Index(), Requests: requestStatus(a.proxy.Metrics()),
	}
	counters := a.router.Counters()
	status.Choices = choiceStatus(&counters)
	status.Refusals = refusalStatus(&counters)
	status.Prompts = promptStatus(&counters.Prompts)
	status.Late = lateStatus(&counters)
	status.NewestLate = newestLateRequests(now, a.router.LateAnswers())
	status.DisabledMechanisms = a.options.Disabled.Names()
	if compiled := a.compiled.Load(); compiled != nil {
		status.ConfigVersion = compiled.Version
		status.ModelVersions = compiled.ModelVersions
	}
	if confirmedAt := core.Time(a.confirmedAt.Load()); confirmedAt != 0 {
		status.ConfirmedAgo = (now - confirmedAt).Round(time.Millisecond).String()
	}
	for _, member := range a.control.Members() {
		status.Members = append(status.Members, nodestatus.Member{
			ID: member.NodeId, Name: member.Name, Address: member.Address, Zone: member.Zone, CountsForQuorum: member.CountsForQuorum,
		})
	}
	status.Chain = a.chainStatus()
	for _, instance := range a.control.Registry().Instances() {
		status.Instances = append(status.Instances, instanceStatus(instance))
	}
	return status
}

// instanceStatus returns the status of one broker.
func instanceStatus(instance *nodepb.Instance) nodestatus.Instance {
	models := map[string]uint64{}
	for _, model := range instance.Models {
		models[model.Name] = model.Version
	}
	return nodestatus.Instance{
		ID: instance.Id, Service: instance.Service, Address: instance.Address,
		Zone: instance.Zone, State: instance.State.String(), Models: models,
	}
}

// chainStatus returns the newest view and this node's part in it; nil without a view.
func (a *Agent) chainStatus() *nodestatus.Chain {
	view := a.control.View()
	if view == nil {
		return nil
	}
	status := &nodestatus.Chain{Epoch: view.Epoch, Chain: view.Chain}
	for _, voter := range view.Voters {
		status.Voters = append(status.Voters, voter.DiskId+"@"+voter.Address)
	}
	if own, ok := a.control.StoreStatus(); ok {
		status.Role = own.Role.String()
		status.Committed = own.Committed
		status.Pending = own.HasPending
		status.DiskHealthy = own.DiskHealthy
	}
	return status
}

// choiceStatus returns the router's choices by reason.
func choiceStatus(counters *routing.Counters) nodestatus.Choices {
	return nodestatus.Choices{
		ByPrediction: counters.ByPrediction, ByAffinity: counters.ByAffinity, ByLoad: counters.ByLoad, AllSlow: counters.AllSlow,
		Trials: counters.Probes, Fallback: counters.Fallback, Ejected: counters.Ejections, BudgetDenied: counters.BudgetDenied,
	}
}

// refusalStatus returns the router's refusals by reason.
func refusalStatus(counters *routing.Counters) map[string]uint64 {
	refusals := make(map[string]uint64, len(counters.Refusals))
	for reason, count := range counters.Refusals {
		refusals[string(reason)] = count
	}
	return refusals
}

// promptStatus returns the shared prompt tokens by expected source.
func promptStatus(counters *routing.PromptCounters) nodestatus.Prompts {
	return nodestatus.Prompts{
		Shared:       counters.Shared,
		Cached:       counters.Cached,
		InPrefill:    counters.InPrefill,
		FromBroker:   counters.FromBroker,
		FromStore:    counters.FromStore,
		FirstSeen:    counters.FirstSeen,
		Recomputed:   counters.Recomputed,
		BlindFetches: counters.BlindFetches,
	}
}

// lateStatus returns the late answers by cause.
func lateStatus(counters *routing.Counters) map[string]uint64 {
	late := make(map[string]uint64, len(counters.Late))
	for cause, count := range counters.Late {
		late[string(cause)] = count
	}
	return late
}

// newestLateRequests returns the newest late answers, with times relative to now.
func newestLateRequests(now core.Time, requests []routing.LateRequest) []nodestatus.LateRequest {
	newest := make([]nodestatus.LateRequest, 0, len(requests))
	for _, late := range requests {
		newest = append(newest, nodestatus.LateRequest{
			Ago: rounded(now - late.DetectedAt), Route: late.Route, Instance: late.Instance, Cause: string(late.Cause),
			FirstEvent: rounded(late.FirstEvent), MaxGap: rounded(late.MaxGap), PrefillTokens: late.PrefillTokens, QueuedPrefillTokens: late.QueuedPrefillTokens,
			LongestOtherPrompt: late.LongestOtherPrompt, Load: late.Load, Running: late.Reported.Running, Waiting: late.Reported.Waiting,
		})
	}
	return newest
}

// rounded formats a duration to milliseconds.
func rounded(t core.Time) string { return t.Round(time.Millisecond).String() }

// requestStatus returns the proxy's request counters.
func requestStatus(metrics forward.Metrics) nodestatus.Requests {
	return nodestatus.Requests{
		Received: metrics.Requests, Answered: metrics.Answered, Rejected: metrics.Rejected, Failed: metrics.Failed,
		Denied: metrics.Denied, Aborted: metrics.Aborted, ClientDisconnected: metrics.ClientDisconnected,
		Attempts: metrics.Attempts, Retries: metrics.Retries, Hedges: metrics.Hedges, Resumed: metrics.Resumed,
	}
}
