package full

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"time"

	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/exercise"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/lease/fence/dir"
	"kestrelspread/internal/fleet/lease/fence/http"
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/voter"
	"kestrelspread/internal/fleet/statement"
	"kestrelspread/internal/fleet/statement/collector"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/fleet/zonefailure/gossip"
	"kestrelspread/internal/fleet/zonerecovery"
	"kestrelspread/internal/fleet/zonerecovery/coordinator"
	"kestrelspread/internal/operator"
)

const (
	closeDuty  = "close"
	returnDuty = "return"
	drillDuty  = "drill/"
	paceEvery  = 250 * time.Millisecond
	handOver   = 2 * time.Second // at a stop; what is not let go by then runs out by its lease
)

// duties has the broker take its part in the fleet's work: as a voter where the file makes it one, and as whoever may own a duty.
// The broker starts and serves whatever becomes of this part.
func duties(p *server.Parts, o *operator.Roles, port *zonefailure.Interceptor, sees *sightings) (end func(), err error) {
	rules := lease.ConfigForLease(o.LeaseMs)
	var list []voter.Address
	votes := false
	for _, v := range o.Voters {
		list = append(list, voter.Address{Name: v.Name, Addr: v.Address})
		votes = votes || v.Name == p.Name
	}
	var mine *voter.Server
	if votes {
		if o.Directory == "" {
			return nil, fmt.Errorf("owner: %s is a voter and has no folder", p.Name)
		}
		mine, err = voter.Start(voter.Options{Name: p.Name, Listen: o.Listen, Dir: o.Directory, Voters: list, LeaseConfig: rules,
			TickInterval: time.Duration(rules.TickIntervalMs() * 1e6), Log: p.Log})
		if err != nil {
			return nil, fmt.Errorf("owner: %w", err)
		}
	}
	var chance [8]byte
	if _, err := rand.Read(chance[:]); err != nil {
		return nil, err
	}
	w := client.Options{Name: fmt.Sprintf("%s.%x", p.Name, chance), Voters: list, Config: rules, Jobs: map[string]func() client.Job{}, Log: p.Log}
	if c := o.Statements; c != nil {
		to := func() (fence.Receiver, error) {
			if c.URL != "" {
				return fencehttp.New(c.URL), nil
			}
			return fencedir.Open(c.Directory)
		}
		if _, err := to(); err != nil {
			return nil, fmt.Errorf("owner/duties/close: %w", err)
		}
		w.Jobs[closeDuty] = func() client.Job {
			r, err := to()
			if err != nil {
				p.Log.Warn().Err(err).Msg("fleet's statement: its folder can't be opened")
				r = nowhere{err}
			}
			return &collector.Job{Directories: c.ExportPatterns, Config: statement.Config{ExpectedInstances: c.ExpectedInstances, WaitMs: int64(c.WaitMs)}, Receiver: r, Log: p.Log,
				Interval: time.Duration(c.IntervalMs * 1e6), WallClockMs: func() int64 { return time.Now().UnixMilli() }}
		}
	}
	if d := o.Exercise; d != nil {
		to := fencehttp.New(d.URL)
		for i := range d.Count {
			w.Jobs[drillDuty+strconv.Itoa(i)] = func() client.Job {
				return &exercise.Job{Receiver: to, Interval: time.Duration(d.IntervalMs * 1e6), SaveEvery: d.SaveEvery, Holder: w.Name}
			}
		}
	}
	if o.ZoneRecovery && port != nil {
		ears := &coordinator.Inbox{}
		sees.add(func(site int, lost bool) { ears.Add(p.Name, site, lost, 0) })
		sees.others = append(sees.others, func(w gossip.Report) { ears.Add(w.Peer, w.Site, w.Lost, w.AgeMs) })
		w.Jobs[returnDuty] = func() client.Job {
			return &coordinator.Job{Inbox: ears, Config: zonerecovery.DefaultConfig, Interval: paceEvery}
		}
		w.WatchedRoles = []string{returnDuty}
		w.OnProgress = func(list []replica.ProgressReport) {
			for _, s := range list {
				stages, err := zonerecovery.ParseStages(s.Progress)
				if err != nil || s.Role != returnDuty {
					continue
				}
				// A full post loses it, as it is said again.
				p.Router.Post(p.Loop.Tell, func() {
					for _, one := range stages {
						port.HandleRecoveryShare(one.Site, one.Share, s.AgeMs)
					}
				})
			}
		}
	}
	n, err := client.New(w)
	if err != nil {
		return nil, err
	}
	n.Start()
	p.Log.Info().Str("instance", w.Name).Bool("voter", votes).Int("duties", len(w.Jobs)).Float64("lease_ms", o.LeaseMs).Msg("taking part in the fleet's work")
	return func() {
		n.Close(handOver)
		if mine != nil {
			mine.Close()
		}
	}, nil
}

// nowhere is a receiver that can't be reached.
type nowhere struct{ err error }

// Apply takes nothing, and gives the error for which the receiver can't be reached.
func (n nowhere) Apply(fence.Effect) (bool, error) { return false, n.err }
