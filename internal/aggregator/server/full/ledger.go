package full

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/background"
	"kestrelspread/internal/background/runner"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/sink"
	"kestrelspread/internal/ledger/store"
	"kestrelspread/internal/operator"
	"kestrelspread/internal/transport"
)

// clocks are the system's and the loop's.
type clocks struct{ loop *transport.Loop }

// WallMs implements store.Clocks, by the system's clock.
func (c clocks) WallMs() int64 { return time.Now().UnixMilli() }

// SteadyMs implements store.Clocks, by the loop's clock.
func (c clocks) SteadyMs() float64 { return c.loop.Now() }

// Calendar is the one that the operator's file names.
func Calendar(o *operator.Ledger) (*ledger.Calendar, error) {
	zone, err := time.LoadLocation(o.Zone)
	if err != nil {
		return nil, err
	}
	return &ledger.Calendar{Zone: zone, Unit: o.PeriodUnit, Hours: o.Hours, GraceMs: int64(o.GraceMs)}, nil
}

const (
	lookEvery = time.Second
	lastWords = 2 * time.Second
	// Background work takes at most 5% of a core and 2 MB a second from serving.
	exportTime  = 50.
	retireEvery = 60e3 // ms
	retireMost  = 2000 // entries at a time: recording waits for them
	retireBytes = 200. // of an entry, read
	exportBytes = 2 << 20
)

// startLedger opens the ledger and has the router tell it of each search. The aggregator does not
// start on a ledger that can't be proved: an operator is to look at it first.
func startLedger(p *server.Host, o *operator.Ledger) (end func(), err error) {
	c, err := Calendar(o)
	if err != nil {
		return nil, err
	}
	instance := o.Instance
	if instance == "" {
		instance = p.Name
	}
	s, err := store.Open(vfs.Default, o.Directory, instance, time.Now())
	if err != nil {
		return nil, fmt.Errorf("the ledger can't be used: %w", err)
	}
	r := store.NewRecorder(s, c, clocks{p.Loop}, p.Engine.Kinds(), p.Engine.Customers())
	p.Engine.SetMeter(r)
	r.Start()
	p.Log.Info().Str("instance", s.Instance).Uint64("epoch", s.Epoch).Bool("new", s.Recovery.Created).Int("entries", s.Recovery.Entries).
		Dur("took", s.Recovery.Duration).Msg("ledger is kept")
	var work *runner.Runner
	sinks := map[string]sink.Sink{}
	if o.ExportDirectory != "" {
		to, err := sink.OpenDirectory(o.ExportDirectory)
		if err != nil {
			r.Stop(lastWords)
			s.Close()
			return nil, fmt.Errorf("the ledger's export: %w", err)
		}
		sinks["folder"] = to
	}
	if o.ExportURL != "" {
		sinks["http"] = sink.NewHTTP(o.ExportURL)
	}
	if len(sinks) > 0 || o.RetentionMs > 0 {
		work = runner.New(background.Budget{TimeMsPerS: exportTime, BytesPerS: exportBytes, BurstS: 0.5})
		for name, to := range sinks {
			x, err := sink.NewExporter(s, name, to, o.BatchEntries, o.ExportIntervalMs)
			if err != nil {
				r.Stop(lastWords)
				s.Close()
				return nil, fmt.Errorf("the ledger's export: %w", err)
			}
			x.OnFailure = func(err error) { p.Log.Warn().Err(err).Str("to", name).Msg("ledger is not exported; entries wait") }
			work.Add("export to "+name, background.Low, 0, x.Step)
		}
		if o.RetentionMs > 0 {
			names := slices.Sorted(maps.Keys(sinks))
			work.Add("retention", background.Idle, retireEvery, func() (bytes, again float64) {
				n := 0
				err := r.Exclusive(lastWords, func(s *store.Store) (err error) {
					n, err = s.Retire(c, time.Now().UnixMilli()-int64(o.RetentionMs), retireMost, names...)
					return err
				})
				if err != nil {
					p.Log.Warn().Err(err).Msg("ledger's old entries are not let go of")
				}
				if n == retireMost {
					return retireBytes * float64(n), 0
				}
				return retireBytes * float64(n), retireEvery
			})
		}
		work.Start()
	}
	quit := make(chan struct{})
	go func() { // says what is wrong with the disk, once each time it changes
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		was := ""
		for {
			select {
			case <-t.C:
			case <-quit:
				return
			}
			now := ""
			if text := s.Disk.Fault.Load(); text != nil {
				now = *text
			}
			if now != was {
				if was = now; now != "" {
					keys, _ := r.Pending()
					p.Log.Warn().Str("trouble", now).Int("keys_waiting", keys).Msg("ledger is not written; uses wait")
				} else {
					p.Log.Info().Msg("ledger is written again")
				}
			}
		}
	}()
	return func() {
		close(quit)
		if work != nil && !work.Stop(lastWords) {
			return // it stands still with the disk: what is durable stays so
		}
		whole := r.Stop(lastWords)
		_, uses := r.Pending()
		p.Log.Info().Bool("whole", whole).Int64("uses", uses).Int64("durable", r.DurableSearches()).Msg("ledger is closed")
		if whole {
			s.Close()
		}
	}, nil
}
