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

// Owners is the fleet's work in a scenario: voters among the brokers, duties that any of them may own, and a receiver outside
// of all sites, where what they do is counted.
type Owners struct {
	Voters int     `json:"voters"`
	Duties int     `json:"duties"`
	Lease  float64 `json:"lease-ms"`
	Every  float64 `json:"every-ms"` // between two effects of a duty
	Return bool    `json:"return"`   // one paces the return of lost sites for all
	Open   bool    `json:"open"`     // the receiver has no fence
}

// OwnersReport is what the receiver's audit says, and what the voters' disks and links did.
type OwnersReport struct {
	receiver.Report
	Unfenced int       `json:"unfenced"` // of old owners, that came after a newer one's
	Gaps     []float64 `json:"gaps_ms"`  // between the last effect of one owner and the first of the next, in order
	Duties   int       `json:"duties_done"`
	Stages   []StageAt `json:"stages,omitempty"`  // of sites, as the voters had them
	Stalled  []string  `json:"stalled,omitempty"` // of which nothing counted in the run's last seconds
}

// StageAt is how far a site has come back by the fleet's word, from a time of the run on.
type StageAt struct {
	At    float64 `json:"at_ms"`
	Site  int     `json:"site"`
	Share float64 `json:"share"`
}

// quorum is the rig's part in a run with owners.
type quorum struct {
	w      *world
	to     *receiver.Fenced
	stages []StageAt // the lock is the world's
}

const stagesEvery = 100 // ms

// watch notes how far sites have come back, as any voter that answers has it, until the run ends.
func (q *quorum) watch(ctx context.Context) {
	if !q.w.Owners.Return {
		return
	}
	var peers []*transport.Peer
	for k := range q.w.Owners.Voters {
		if p, err := transport.Dial(q.talkAt(q.voter(k))); err == nil {
			peers = append(peers, p)
		}
	}
	latest := map[int]StageAt{}
	word := uint64(0)
	for n := 0; ctx.Err() == nil; n++ {
		if n%len(peers) == 0 { // voters are asked in turn, and a word that is older than another's is passed over
			time.Sleep(stagesEvery * time.Millisecond)
		}
		ask, end := context.WithTimeout(ctx, stagesEvery*time.Millisecond)
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
			q.w.lock.Lock()
			for _, s := range list {
				if was, known := latest[s.Site]; !known || was.Share != s.Share {
					latest[s.Site] = StageAt{q.w.now(), s.Site, s.Share}
					q.stages = append(q.stages, latest[s.Site])
				}
			}
			q.w.lock.Unlock()
		}
	}
}

func (w *world) addOwners() {
	if w.Owners != nil {
		w.quorum = &quorum{w: w, to: receiver.NewFenced(w.Owners.Open)}
	}
}

// voter gives the broker that is a voter: they are spread over the list, and so over the sites.
func (q *quorum) voter(k int) *process { return q.w.brokers[k*len(q.w.brokers)/q.w.Owners.Voters] }

// talkAt is a voter's own address.
func (q *quorum) talkAt(b *process) string {
	host, _, _ := strings.Cut(q.w.talker(b.at), ":")
	return host + ":7950"
}

// part makes a broker's part of the operator's file: each reaches the voters, and the receiver, over links of its own.
func (q *quorum) part(b *process) (map[string]any, error) {
	type m = map[string]any
	o := q.w.Owners
	var voters []m
	mine := false
	here := links.Party{Name: b.name, Site: q.w.Sites[b.site].Name}
	for k := range o.Voters {
		v := q.voter(k)
		if v == b {
			mine = true
			voters = append(voters, m{"name": v.name, "address": q.talkAt(v)})
			continue
		}
		l, err := q.w.net.Add(here, links.Party{Name: v.name, Site: q.w.Sites[v.site].Name}, q.talkAt(v))
		if err != nil {
			return nil, err
		}
		voters = append(voters, m{"name": v.name, "address": l.Addr()})
	}
	l, err := q.w.net.Add(here, links.Party{Name: "receiver", Site: "outside"}, q.to.Listener.Addr().String())
	if err != nil {
		return nil, err
	}
	part := m{"voters": voters, "lease-ms": o.Lease,
		"duties": m{"drill": m{"url": "http://" + l.Addr() + "/", "count": o.Duties, "every-ms": o.Every, "marks": 3}}}
	if o.Return {
		part["duties"].(m)["return"] = m{}
	}
	if mine {
		part["listen"], part["folder"] = q.talkAt(b), filepath.Join(b.dir, b.name+"-voter")
	}
	return part, nil
}

// owner gives the broker whose effects were the latest of the most duties, as the receiver saw; one that is up.
func (q *quorum) owner() *process {
	count := map[string]int{}
	for _, holder := range q.to.Holders() {
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
		if b := q.w.broker(n); b != nil && b.isUp() {
			return b
		}
	}
	return nil
}

// sleepOwner has an owner sleep between its check and its act: what it has sent is held on its link to the receiver, it is
// stopped, and both go on when others have long taken over.
func (q *quorum) sleepOwner() (undo func(), err error) {
	b := q.owner()
	if b == nil {
		return nil, fmt.Errorf("nobody owns anything")
	}
	lift := q.w.net.Lay(links.Fault{From: b.name, To: "receiver", There: links.Way{Cut: true}})
	q.w.afterMs(3*q.w.Owners.Every, func() { b.signal(syscall.SIGSTOP) })
	return func() {
		lift()
		b.signal(syscall.SIGCONT)
	}, nil
}

// loseDisk kills a voter and takes its disk away; it starts again when the fault ends.
func (q *quorum) loseDisk(b *process) (undo func(), err error) {
	b.kill()
	return b.startAgain, os.RemoveAll(filepath.Join(b.dir, b.name+"-voter"))
}

func (q *quorum) report() *OwnersReport {
	r := &OwnersReport{Report: q.to.Audit(), Unfenced: q.to.OldCame(), Gaps: q.to.Gaps()}
	for range q.to.Counts() {
		r.Duties++
	}
	r.Stages = q.stages
	r.Stalled = q.to.Stalled(max(3000, 6*q.w.Owners.Lease))
	return r
}
