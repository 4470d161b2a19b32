package extensions

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

// startLeases has the aggregator take its part in the fleet's singleton roles: as a voter where the
// file makes it one, and as a candidate for each role's lease. It starts and serves whatever the
// result.
func startLeases(host *server.Host, o *operator.Roles, zones *zonefailure.Interceptor, observers *zoneObservers) (end func(), err error) {
	rules := lease.ConfigForLease(o.LeaseMs)
	own, list, err := startVoter(host, o, rules)
	if err != nil {
		return nil, err
	}
	var suffix [8]byte // tells two runs of one name apart
	if _, err := rand.Read(suffix[:]); err != nil {
		return nil, err
	}
	options := client.Options{Name: fmt.Sprintf("%s.%x", host.Name, suffix), Voters: list, Config: rules,
		Jobs: map[string]func() client.Job{}, Log: host.Log}
	if o.Statements != nil {
		if options.Jobs[closeDuty], err = closeJob(host, o.Statements); err != nil {
			return nil, err
		}
	}
	if d := o.Exercise; d != nil {
		receiver := fencehttp.New(d.URL)
		for i := range d.Count {
			options.Jobs[drillDuty+strconv.Itoa(i)] = func() client.Job {
				return &exercise.Job{Receiver: receiver, Interval: time.Duration(d.IntervalMs * 1e6), SaveEvery: d.SaveEvery, Holder: options.Name}
			}
		}
	}
	if o.ZoneRecovery && zones != nil {
		addReturnJob(host, &options, zones, observers)
	}
	candidate, err := client.New(options)
	if err != nil {
		return nil, err
	}
	candidate.Start()
	host.Log.Info().Str("instance", options.Name).Bool("voter", own != nil).Int("duties", len(options.Jobs)).
		Float64("lease_ms", o.LeaseMs).Msg("taking part in the fleet's work")
	return func() {
		candidate.Close(handOver)
		if own != nil {
			own.Close()
		}
	}, nil
}

// startVoter starts this aggregator's voter where the file names it as one; else own is nil.
func startVoter(host *server.Host, o *operator.Roles, rules lease.Config) (own *voter.Server, list []voter.Address, err error) {
	votes := false
	for _, v := range o.Voters {
		list = append(list, voter.Address{Name: v.Name, Addr: v.Address})
		votes = votes || v.Name == host.Name
	}
	if !votes {
		return nil, list, nil
	}
	if o.Directory == "" {
		return nil, nil, fmt.Errorf("owner: %s is a voter and has no folder", host.Name)
	}
	own, err = voter.Start(voter.Options{Name: host.Name, Listen: o.Listen, Dir: o.Directory, Voters: list, LeaseConfig: rules,
		TickInterval: time.Duration(rules.TickIntervalMs() * 1e6), Log: host.Log})
	if err != nil {
		return nil, nil, fmt.Errorf("owner: %w", err)
	}
	return own, list, nil
}

// closeJob makes the job that closes the fleet's statement.
func closeJob(host *server.Host, c *operator.StatementRole) (func() client.Job, error) {
	open := func() (fence.Receiver, error) {
		if c.URL != "" {
			return fencehttp.New(c.URL), nil
		}
		return fencedir.Open(c.Directory)
	}
	if _, err := open(); err != nil {
		return nil, fmt.Errorf("owner/duties/close: %w", err)
	}
	return func() client.Job {
		receiver, err := open()
		if err != nil {
			host.Log.Warn().Err(err).Msg("fleet's statement: its folder can't be opened")
			receiver = unreachableFence{err}
		}
		return &collector.Job{
			Directories: c.ExportPatterns,
			Config:      statement.Config{ExpectedInstances: c.ExpectedInstances, WaitMs: int64(c.WaitMs)},
			Receiver:    receiver,
			Log:         host.Log,
			Interval:    time.Duration(c.IntervalMs * 1e6),
			WallClockMs: func() int64 { return time.Now().UnixMilli() },
		}
	}, nil
}

// addReturnJob adds the job that has zones come back in stages, and what it needs to see and to be
// obeyed.
func addReturnJob(host *server.Host, options *client.Options, zones *zonefailure.Interceptor, observers *zoneObservers) {
	inbox := &coordinator.Inbox{}
	observers.add(func(site int, lost bool) { inbox.Add(host.Name, site, lost, 0) })
	observers.others = append(observers.others, func(w gossip.Report) { inbox.Add(w.Peer, w.Site, w.Lost, w.AgeMs) })
	options.Jobs[returnDuty] = func() client.Job {
		return &coordinator.Job{Inbox: inbox, Config: zonerecovery.DefaultConfig, Interval: paceEvery}
	}
	options.WatchedRoles = []string{returnDuty}
	options.OnProgress = func(list []replica.ProgressReport) {
		for _, report := range list {
			stages, err := zonerecovery.ParseStages(report.Progress)
			if err != nil || report.Role != returnDuty {
				continue
			}
			// A full post loses it, as it is reported again.
			host.Engine.Post(host.Loop.Notify, func() {
				for _, stage := range stages {
					zones.HandleRecoveryShare(stage.Site, stage.Share, report.AgeMs)
				}
			})
		}
	}
}

// unreachableFence is a receiver that can't be reached.
type unreachableFence struct{ err error }

// Apply takes nothing, and gives the error for which the receiver can't be reached.
func (n unreachableFence) Apply(fence.Effect) (bool, error) { return false, n.err }
