package agent

import (
	"context"
	"time"

	"kestrelspread/internal/node/core"
)

// Status is what operators read of a node; kestrelctl prints it.
type Status struct {
	Node          string            `json:"node"`
	ID            string            `json:"id"`
	Zone          string            `json:"zone"`
	Ready         bool              `json:"ready"`
	ConfigVersion uint64            `json:"configVersion"`
	StateIndex    uint64            `json:"stateIndex"`
	ConfirmedAgo  string            `json:"confirmedAgo"`
	ModelVersions map[string]uint64 `json:"modelVersions"`
	Members       []MemberStatus    `json:"members"`
	Chain         *ChainStatus      `json:"chain,omitempty"`
	Instances     []InstanceStatus  `json:"instances"`
	Requests      any               `json:"requests"`
}

// MemberStatus is one node as this one sees it.
type MemberStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Counts  bool   `json:"counts"`
}

// ChainStatus is the view of the control chain.
type ChainStatus struct {
	Epoch     uint64   `json:"epoch"`
	Role      string   `json:"role,omitempty"`
	Chain     []string `json:"chain"`
	Voters    []string `json:"voters"`
	Committed uint64   `json:"committed"`
	Pending   bool     `json:"pending"`
	DiskFine  bool     `json:"diskFine"`
}

// InstanceStatus is one broker.
type InstanceStatus struct {
	ID      string            `json:"id"`
	Service string            `json:"service"`
	Address string            `json:"address"`
	Zone    string            `json:"zone"`
	State   string            `json:"state"`
	Models  map[string]uint64 `json:"models"`
}

const statusTimeout = time.Second

// Status serves GET /kestrelspread/status.
func (b backend) Status() any {
	answer := make(chan *Status, 1)
	b.agent.post(func(now core.Time) { answer <- b.agent.status(now) })
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	select {
	case status := <-answer:
		return status
	case <-ctx.Done():
		return &Status{Node: b.agent.settings.NodeName}
	}
}

func (a *Agent) status(now core.Time) *Status {
	status := &Status{
		Node: a.settings.NodeName, ID: a.self.NodeId, Zone: a.self.Zone,
		Ready: a.ready(), StateIndex: a.state.Index(), Requests: a.proxy.Metrics(),
	}
	if compiled := a.compiled.Load(); compiled != nil {
		status.ConfigVersion, status.ModelVersions = compiled.Version, compiled.ModelVersions
	}
	if at := core.Time(a.confirmed.Load()); at != 0 {
		status.ConfirmedAgo = (now - at).Round(time.Millisecond).String()
	}
	for _, member := range a.membership.Members() {
		status.Members = append(status.Members, MemberStatus{member.Name, member.Address, member.Zone, member.CountsForQuorum})
	}
	status.Chain = a.chainStatus()
	for _, instance := range a.registry.Instances() {
		models := map[string]uint64{}
		for _, model := range instance.Models {
			models[model.Name] = model.Version
		}
		status.Instances = append(status.Instances, InstanceStatus{instance.Id, instance.Service, instance.Address,
			instance.Zone, instance.State.String(), models})
	}
	return status
}

func (a *Agent) chainStatus() *ChainStatus {
	view := a.distribution.View()
	if view == nil {
		return nil
	}
	status := &ChainStatus{Epoch: view.Epoch, Chain: view.Chain}
	for _, voter := range view.Voters {
		status.Voters = append(status.Voters, voter.DiskId+"@"+voter.Address)
	}
	if a.store != nil {
		own := a.store.Status()
		status.Role, status.Committed, status.Pending, status.DiskFine = own.Role.String(), own.Committed, own.Pending, own.DiskHealthy
	}
	return status
}
