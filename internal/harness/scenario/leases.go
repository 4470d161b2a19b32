package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"kestrelspread/internal/fleet/lease/transport"
	"kestrelspread/internal/fleet/zonerecovery"
	"kestrelspread/internal/harness/links"
	"kestrelspread/internal/standin/receiver"
)

// Leases configures leases in a scenario: voters among the brokers, roles that any broker may hold, and a receiver outside of all
// sites, which counts the effects of the holders.
type Leases struct {
	Voters           int     `json:"voters"`
	RoleCount        int     `json:"duties"`
	LeaseMs          float64 `json:"lease-ms"`
	EffectIntervalMs float64 `json:"every-ms"` // between two effects of a role
	PacesReturn      bool    `json:"return"`   // a holder paces the return of lost sites
	Unfenced         bool    `json:"open"`     // the receiver does not check fencing tokens
}

// LeaseReport is the receiver's audit of the effects.
type LeaseReport struct {
	receiver.Report
	StaleEffects int           `json:"unfenced"` // of previous holders, that were received after one of a newer holder
	GapsMs       []float64     `json:"gaps_ms"`  // between the last effect of a holder and the first of the next one, sorted
	ActiveRoles  int           `json:"duties_done"`
	ReturnStages []ReturnStage `json:"stages,omitempty"`  // of sites, as the voters had them
	Stalled      []string      `json:"stalled,omitempty"` // roles without an effect in the last seconds of the run
}

// ReturnStage is the share of its load that a returning site gets, from a time of the run on.
type ReturnStage struct {
	AtMs  float64 `json:"at_ms"`
	Site  int     `json:"site"`
	Share float64 `json:"share"`
}

// leaseRun is the receiver and the observed return stages of a run with leases.
type leaseRun struct {
	run      *runner
	receiver *receiver.FencedReceiver
	stages   []ReturnStage // guarded by run.mutex
}

// stagePollMs is the interval of polls of the voters.
const stagePollMs = 100

// watchReturnStages records changes of return stages, as the voters have them, until the run ends.
func (q *leaseRun) watchReturnStages(ctx context.Context) {
	if !q.run.Leases.PacesReturn {
		return
	}
	var peers []*transport.Peer
	for k := range q.run.Leases.Voters {
		if p, err := transport.Dial(q.voterAddress(q.voter(k))); err == nil {
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		return // nobody to poll: the report has no stages
	}
	latest := map[int]ReturnStage{}
	latestIndex := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		if n%len(peers) == 0 { // voters are polled in turn; states older than one seen before are skipped
			time.Sleep(stagePollMs * time.Millisecond)
		}
		pollContext, cancel := context.WithTimeout(ctx, stagePollMs*time.Millisecond)
		v, err := peers[n%len(peers)].Status(pollContext)
		cancel()
		if err != nil || v.AppliedIndex < latestIndex {
			continue
		}
		latestIndex = v.AppliedIndex
		for _, d := range v.Roles {
			list, err := zonerecovery.ParseStages([]byte(d.Progress))
			if d.Name != "return" || err != nil {
				continue
			}
			q.run.mutex.Lock()
			for _, s := range list {
				if was, known := latest[s.Site]; !known || was.Share != s.Share {
					latest[s.Site] = ReturnStage{q.run.now(), s.Site, s.Share}
					q.stages = append(q.stages, latest[s.Site])
				}
			}
			q.run.mutex.Unlock()
		}
	}
}

func (run *runner) startLeases() {
	if run.Leases != nil {
		run.leases = &leaseRun{run: run, receiver: receiver.NewFencedReceiver(run.Leases.Unfenced)}
	}
}

// voter is the broker of a voter: voters are spread over the list, and so over the sites.
func (q *leaseRun) voter(k int) *brokerProcess {
	return q.run.brokers[k*len(q.run.brokers)/q.run.Leases.Voters]
}

// voterAddress is the address that a voter listens on.
func (q *leaseRun) voterAddress(b *brokerProcess) string {
	host, _, _ := strings.Cut(q.run.gossipAddress(b.index), ":")
	return host + ":7950"
}

// operatorConfig is a broker's part of the operator's file. Each broker reaches the voters and the receiver over links of its own.
func (q *leaseRun) operatorConfig(b *brokerProcess) (map[string]any, error) {
	type m = map[string]any
	o := q.run.Leases
	var voters []m
	mine := false
	here := links.Endpoint{Name: b.name, Site: q.run.Sites[b.site].Name}
	for k := range o.Voters {
		v := q.voter(k)
		if v == b {
			mine = true
			voters = append(voters, m{"name": v.name, "address": q.voterAddress(v)})
			continue
		}
		l, err := q.run.network.Add(here, links.Endpoint{Name: v.name, Site: q.run.Sites[v.site].Name}, q.voterAddress(v))
		if err != nil {
			return nil, err
		}
		voters = append(voters, m{"name": v.name, "address": l.Address()})
	}
	l, err := q.run.network.Add(here, links.Endpoint{Name: "receiver", Site: "outside"}, q.receiver.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	part := m{"voters": voters, "lease-ms": o.LeaseMs,
		"duties": m{"drill": m{"url": "http://" + l.Address() + "/", "count": o.RoleCount, "every-ms": o.EffectIntervalMs, "marks": 3}}}
	if o.PacesReturn {
		part["duties"].(m)["return"] = m{}
	}
	if mine {
		part["listen"], part["folder"] = q.voterAddress(b), filepath.Join(b.dir, b.name+"-voter")
	}
	return part, nil
}

// busiestHolder is the running broker that holds the most roles, by the latest effects at the receiver; nil: none.
func (q *leaseRun) busiestHolder() *brokerProcess {
	count := map[string]int{}
	for _, holder := range q.receiver.Holders() {
		name, _, _ := strings.Cut(holder, ".")
		count[name]++
	}
	names := make([]string, 0, len(count))
	for n := range count {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		return count[names[i]] > count[names[j]] || count[names[i]] == count[names[j]] && names[i] < names[j]
	})
	for _, n := range names {
		if b := q.run.broker(n); b != nil && b.isRunning() {
			return b
		}
	}
	return nil
}

// suspendHolder suspends a holder between its check and its effect: the effect is blocked on the link to the receiver, the process is
// stopped, and both resume when others have long taken over.
func (q *leaseRun) suspendHolder() (remove func(), err error) {
	b := q.busiestHolder()
	if b == nil {
		return nil, fmt.Errorf("nobody owns anything")
	}
	removeFault := q.run.network.Inject(links.Fault{Source: b.name, Destination: "receiver", Forward: links.Conditions{Partitioned: true}})
	q.run.afterMs(3*q.run.Leases.EffectIntervalMs, func() { b.signal(syscall.SIGSTOP) })
	return func() {
		removeFault()
		b.signal(syscall.SIGCONT)
	}, nil
}

// loseDisk kills a voter and removes its data; it restarts as the fault ends.
func (q *leaseRun) loseDisk(b *brokerProcess) (remove func(), err error) {
	b.kill()
	return b.restart, os.RemoveAll(filepath.Join(b.dir, b.name+"-voter"))
}

func (q *leaseRun) report() *LeaseReport {
	r := &LeaseReport{Report: q.receiver.Audit(), StaleEffects: q.receiver.StaleEffects(), GapsMs: q.receiver.TakeoverGapsMs()}
	for range q.receiver.Counts() {
		r.ActiveRoles++
	}
	r.ReturnStages = q.stages
	r.Stalled = q.receiver.Stalled(max(3000, 6*q.run.Leases.LeaseMs))
	return r
}
