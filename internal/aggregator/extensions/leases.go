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

// Names of the singleton roles, as the voters store them.
const (
	statementRole      = "close"  // closes the fleet's statement of each period
	zoneRecoveryRole   = "return" // brings lost zones back in stages
	exerciseRolePrefix = "drill/" // followed by the number of the role, from 0
)

const (
	zoneRecoveryInterval = 250 * time.Millisecond // between two steps of the job
	handoverTimeout      = 2 * time.Second        // at a stop; leases not released by then expire
)

// startLeases has the aggregator take part in the fleet's singleton roles: as a voter if the
// operator's file names it as one, and as a candidate for each role's lease. It fails on an invalid
// configuration or if the voter can't start; whether or not it ever gets a lease, the aggregator
// starts and serves. It returns a function that releases the leases and stops the voter.
func startLeases(host *server.Host, roles *operator.Roles, zones *zonefailure.Interceptor,
	observers *zoneObservers) (stop func(), err error) {
	config := lease.ConfigForLease(roles.LeaseMs)
	ownVoter, voters, err := startVoter(host, roles, config)
	if err != nil {
		return nil, err
	}
	var suffix [8]byte // distinguishes two runs of the same aggregator
	if _, err := rand.Read(suffix[:]); err != nil {
		return nil, err
	}
	options := client.Options{Name: fmt.Sprintf("%s.%x", host.Name, suffix), Voters: voters, Config: config,
		Jobs: map[string]func() client.Job{}, Log: host.Log}
	if roles.Statements != nil {
		if options.Jobs[statementRole], err = newStatementJob(host, roles.Statements); err != nil {
			return nil, err
		}
	}
	if role := roles.Exercise; role != nil {
		receiver := fencehttp.New(role.URL)
		for i := range role.Count {
			options.Jobs[exerciseRolePrefix+strconv.Itoa(i)] = func() client.Job {
				return &exercise.Job{Receiver: receiver, Interval: time.Duration(role.IntervalMs * 1e6),
					SaveEvery: role.SaveEvery, Holder: options.Name}
			}
		}
	}
	if roles.ZoneRecovery && zones != nil {
		addZoneRecoveryJob(host, &options, zones, observers)
	}
	candidate, err := client.New(options)
	if err != nil {
		return nil, err
	}
	candidate.Start()
	host.Log.Info().Str("instance", options.Name).Bool("voter", ownVoter != nil).Int("duties", len(options.Jobs)).
		Float64("lease_ms", roles.LeaseMs).Msg("owner: requesting leases of the fleet's singleton roles")
	return func() {
		candidate.Close(handoverTimeout)
		if ownVoter != nil {
			ownVoter.Close()
		}
	}, nil
}

// startVoter starts this aggregator's voter if the operator's file lists it among the voters;
// otherwise own is nil. It also returns the addresses of all voters.
func startVoter(host *server.Host, roles *operator.Roles, config lease.Config) (own *voter.Server, voters []voter.Address, err error) {
	isVoter := false
	for _, v := range roles.Voters {
		voters = append(voters, voter.Address{Name: v.Name, Addr: v.Address})
		isVoter = isVoter || v.Name == host.Name
	}
	if !isVoter {
		return nil, voters, nil
	}
	if roles.Directory == "" {
		return nil, nil, fmt.Errorf("owner: %s is a voter, but no directory for the voter's state is configured", host.Name)
	}
	own, err = voter.Start(voter.Options{Name: host.Name, Listen: roles.Listen, Dir: roles.Directory, Voters: voters, LeaseConfig: config,
		TickInterval: time.Duration(config.TickIntervalMs() * 1e6), Log: host.Log})
	if err != nil {
		return nil, nil, fmt.Errorf("owner: start voter %s: %w", host.Name, err)
	}
	return own, voters, nil
}

// newStatementJob returns a function that makes the job of the role which closes the fleet's
// statements. It fails if the receiver of the statements can't be opened now. If it can't be opened
// at a later grant, each of the job's effects fails with that error.
func newStatementJob(host *server.Host, role *operator.StatementRole) (func() client.Job, error) {
	open := func() (fence.Receiver, error) {
		if role.URL != "" {
			return fencehttp.New(role.URL), nil
		}
		return fencedir.Open(role.Directory)
	}
	if _, err := open(); err != nil {
		return nil, fmt.Errorf("owner/duties/close: %w", err)
	}
	return func() client.Job {
		receiver, err := open()
		if err != nil {
			host.Log.Warn().Err(err).Msg("fleet's statement: its folder can't be opened")
			receiver = unreachableReceiver{err}
		}
		return &collector.Job{
			Directories: role.ExportPatterns,
			Config:      statement.Config{ExpectedInstances: role.ExpectedInstances, WaitMs: int64(role.WaitMs)},
			Receiver:    receiver,
			Log:         host.Log,
			Interval:    time.Duration(role.IntervalMs * 1e6),
			WallClockMs: func() int64 { return time.Now().UnixMilli() },
		}
	}, nil
}

// addZoneRecoveryJob adds the job of the role that brings lost zones back in stages. The job reads
// the zone states that this aggregator and its peers observe. On every aggregator, whether or not it
// holds the role, the published share of each zone is passed to the detector.
func addZoneRecoveryJob(host *server.Host, options *client.Options, zones *zonefailure.Interceptor, observers *zoneObservers) {
	inbox := &coordinator.Inbox{}
	observers.addLocal(func(site int, lost bool) { inbox.Add(host.Name, site, lost, 0) })
	observers.peers = append(observers.peers, func(r gossip.Report) { inbox.Add(r.Peer, r.Site, r.Lost, r.AgeMs) })
	options.Jobs[zoneRecoveryRole] = func() client.Job {
		return &coordinator.Job{Inbox: inbox, Config: zonerecovery.DefaultConfig, Interval: zoneRecoveryInterval}
	}
	options.WatchedRoles = []string{zoneRecoveryRole}
	options.OnProgress = func(reports []replica.ProgressReport) {
		for _, report := range reports {
			stages, err := zonerecovery.ParseStages(report.Progress)
			if err != nil || report.Role != zoneRecoveryRole {
				continue
			}
			// Post drops the stages if its queue is full; they are reported again.
			host.Engine.Post(host.Loop.Notify, func() {
				for _, stage := range stages {
					zones.HandleRecoveryShare(stage.Site, stage.Share, report.AgeMs)
				}
			})
		}
	}
}

// unreachableReceiver stands in for a receiver that could not be opened.
type unreachableReceiver struct{ err error }

// Apply applies nothing and returns the error with which the receiver could not be opened.
func (r unreachableReceiver) Apply(fence.Effect) (bool, error) { return false, r.err }
