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
	"kestrelspread/internal/rig/links"
	"kestrelspread/internal/standin/receiver"
)

// Leases is the fleet's work in a scenario: voters among the brokers, duties that any of them may own, and a receiver outside
// of all sites, where what they do is counted.
type Leases struct {
	Voters           int     `json:"voters"`
	RoleCount        int     `json:"duties"`
	LeaseMs          float64 `json:"lease-ms"`
	EffectIntervalMs float64 `json:"every-ms"` // between two effects of a duty
	PacesReturn      bool    `json:"return"`   // one paces the return of lost sites for all
	Unfenced         bool    `json:"open"`     // the receiver has no fence
}

// LeaseReport is what the receiver's audit says, and what the voters' disks and links did.
type LeaseReport struct {
	receiver.Report
	StaleEffects int           `json:"unfenced"` // of old owners, that came after a newer one's
	GapsMs       []float64     `json:"gaps_ms"`  // between the last effect of one owner and the first of the next, in order
	ActiveRoles  int           `json:"duties_done"`
	ReturnStages []ReturnStage `json:"stages,omitempty"`  // of sites, as the voters had them
	Stalled      []string      `json:"stalled,omitempty"` // of which nothing counted in the run's last seconds
}

// ReturnStage is how far a site has come back by the fleet's word, from a time of the run on.
type ReturnStage struct {
	AtMs  float64 `json:"at_ms"`
	Site  int     `json:"site"`
	Share float64 `json:"share"`
}

// leaseRun is the rig's part in a run with owners.
type leaseRun struct {
	run      *runner
	receiver *receiver.Fenced
	stages   []ReturnStage // the lock is the world's
}

const stagePollMs = 100 // ms

// watchReturnStages notes how far sites have come back, as any voter that answers has it, until the run ends.
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
	latest := map[int]ReturnStage{}
	word := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		if n%len(peers) == 0 { // voters are asked in turn, and a word that is older than another's is passed over
			time.Sleep(stagePollMs * time.Millisecond)
		}
		ask, end := context.WithTimeout(ctx, stagePollMs*time.Millisecond)
		v, err := peers[n%len(peers)].Status(ask)
		end()
		if err != nil || v.AppliedIndex < word {
			continue
		}
		word = v.AppliedIndex
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
		run.leases = &leaseRun{run: run, receiver: receiver.NewFenced(run.Leases.Unfenced)}
	}
}

// voter gives the broker that is a voter: they are spread over the list, and so over the sites.
func (q *leaseRun) voter(k int) *brokerProcess {
	return q.run.brokers[k*len(q.run.brokers)/q.run.Leases.Voters]
}

// voterAddress is a voter's own address.
func (q *leaseRun) voterAddress(b *brokerProcess) string {
	host, _, _ := strings.Cut(q.run.gossipAddress(b.index), ":")
	return host + ":7950"
}

// operatorConfig makes a broker's part of the operator's file: each reaches the voters, and the receiver, over links of its own.
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

// busiestHolder gives the broker whose effects were the latest of the most duties, as the receiver saw; one that is up.
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

// suspendHolder has an owner sleep between its check and its act: what it has sent is held on its link to the receiver, it is
// stopped, and both go on when others have long taken over.
func (q *leaseRun) suspendHolder() (undo func(), err error) {
	b := q.busiestHolder()
	if b == nil {
		return nil, fmt.Errorf("nobody owns anything")
	}
	lift := q.run.network.Inject(links.Fault{Source: b.name, Destination: "receiver", Forward: links.Conditions{Partitioned: true}})
	q.run.afterMs(3*q.run.Leases.EffectIntervalMs, func() { b.signal(syscall.SIGSTOP) })
	return func() {
		lift()
		b.signal(syscall.SIGCONT)
	}, nil
}

// loseDisk kills a voter and takes its disk away; it starts again when the fault ends.
func (q *leaseRun) loseDisk(b *brokerProcess) (undo func(), err error) {
	b.kill()
	return b.restart, os.RemoveAll(filepath.Join(b.dir, b.name+"-voter"))
}

func (q *leaseRun) report() *LeaseReport {
	r := &LeaseReport{Report: q.receiver.Audit(), StaleEffects: q.receiver.OldCame(), GapsMs: q.receiver.Gaps()}
	for range q.receiver.Counts() {
		r.ActiveRoles++
	}
	r.ReturnStages = q.stages
	r.Stalled = q.receiver.Stalled(max(3000, 6*q.run.Leases.LeaseMs))
	return r
}
