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

const statusTimeout = time.Second

// Status serves GET /kestrelspread/status; kestrelctl prints it.
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

func (a *Agent) status(now core.Time) *nodestatus.Status {
	status := &nodestatus.Status{
		Node: a.settings.NodeName, ID: a.self.NodeId, Zone: a.self.Zone,
		Ready: a.ready(), StateIndex: a.control.State().Index(), Requests: requestStatus(a.proxy.Metrics()),
	}
	counters := a.router.Counters()
	status.Choices, status.Refusals = choiceStatus(&counters), refusalStatus(&counters)
	status.Prompts, status.Late, status.LateNewest = nodestatus.Prompts(counters.Prompts), lateStatus(&counters), lateNewest(now, a.router.Late())
	status.Disabled = a.disabled.Names()
	if compiled := a.compiled.Load(); compiled != nil {
		status.ConfigVersion, status.ModelVersions = compiled.Version, compiled.ModelVersions
	}
	if at := core.Time(a.confirmed.Load()); at != 0 {
		status.ConfirmedAgo = (now - at).Round(time.Millisecond).String()
	}
	for _, member := range a.control.Members() {
		status.Members = append(status.Members, nodestatus.Member{
			ID: member.NodeId, Name: member.Name, Address: member.Address, Zone: member.Zone, Counts: member.CountsForQuorum,
		})
	}
	status.Chain = a.chainStatus()
	for _, instance := range a.control.Registry().Instances() {
		status.Instances = append(status.Instances, instanceStatus(instance))
	}
	return status
}

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
		status.Role, status.Committed, status.Pending, status.DiskFine = own.Role.String(), own.Committed, own.HasPending, own.DiskHealthy
	}
	return status
}

func choiceStatus(counters *routing.Counters) nodestatus.Choices {
	return nodestatus.Choices{
		ByPrediction: counters.ByPrediction, ByAffinity: counters.ByAffinity, ByLoad: counters.ByLoad, AllSlow: counters.AllSlow,
		Trials: counters.Trials, Fallback: counters.Fallback, SetAside: counters.SetAside, BudgetDenied: counters.BudgetDenied,
	}
}

func refusalStatus(counters *routing.Counters) map[string]uint64 {
	refusals := make(map[string]uint64, len(counters.Refusals))
	for reason, count := range counters.Refusals {
		refusals[string(reason)] = count
	}
	return refusals
}

func lateStatus(counters *routing.Counters) map[string]uint64 {
	late := make(map[string]uint64, len(counters.Late))
	for cause, count := range counters.Late {
		late[string(cause)] = count
	}
	return late
}

func lateNewest(now core.Time, list []routing.LateRequest) []nodestatus.LateRequest {
	newest := make([]nodestatus.LateRequest, 0, len(list))
	for _, late := range list {
		newest = append(newest, nodestatus.LateRequest{
			Ago: rounded(now - late.At), Route: late.Route, Instance: late.Instance, Cause: string(late.Cause),
			First: rounded(late.First), Pause: rounded(late.Pause), Unread: late.Unread, Ahead: late.Ahead,
			LongestOther: late.LongestOther, Load: late.Load, Running: late.Reported.Running, Waiting: late.Reported.Waiting,
		})
	}
	return newest
}

func rounded(t core.Time) string { return t.Round(time.Millisecond).String() }

func requestStatus(metrics forward.Metrics) nodestatus.Requests {
	return nodestatus.Requests{
		Taken: metrics.Requests, Answered: metrics.Answered, Refused: metrics.Refused, Failed: metrics.Failed,
		Denied: metrics.Denied, Aborted: metrics.Aborted, ClientLeft: metrics.ClientLeft,
		Attempts: metrics.Attempts, Retries: metrics.Retries, Copies: metrics.Copies, Resumed: metrics.Resumed,
	}
}
