package extensions

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
	// faultPollInterval is how often the disk's fault is looked at, for the log.
	faultPollInterval = time.Second
	// shutdownTimeout is how long the recorder and the background work may take to stop.
	shutdownTimeout = 2 * time.Second

	// Background work takes at most 5% of a core and 2 MB a second from serving.
	backgroundTimeMsPerS = 50.
	backgroundBytesPerS  = 2 << 20
	backgroundBurstS     = 0.5

	retireIntervalMs = 60e3
	maxRetired       = 2000 // entries at a time: recording waits for them
	retiredBytes     = 200. // of an entry, read
)

// ledgerService is the ledger of one aggregator: its store, the recorder of searches, and the
// background work that exports entries and retires old ones.
type ledgerService struct {
	host     *server.Host
	settings *operator.Ledger
	calendar *ledger.Calendar
	store    *store.Store
	recorder *store.Recorder
	sinks    map[string]sink.Sink // by name
	work     *runner.Runner       // nil: nothing is exported or retired
	quit     chan struct{}        // ends watchDisk
}

// startLedger opens the ledger and has the engine report each search to it. The aggregator does not
// start on a ledger that can't be proved: an operator is to look at it first. end stops it after the
// loop.
func startLedger(host *server.Host, settings *operator.Ledger) (end func(), err error) {
	l := &ledgerService{host: host, settings: settings, sinks: map[string]sink.Sink{}, quit: make(chan struct{})}
	if err := l.open(); err != nil {
		return nil, err
	}
	if err := l.startExport(); err != nil {
		l.recorder.Stop(shutdownTimeout)
		l.store.Close()
		return nil, fmt.Errorf("the ledger's export: %w", err)
	}
	go l.watchDisk()
	return l.close, nil
}

// open opens the store and starts recording.
func (l *ledgerService) open() (err error) {
	if l.calendar, err = Calendar(l.settings); err != nil {
		return err
	}
	instance := l.settings.Instance
	if instance == "" {
		instance = l.host.Name
	}
	l.store, err = store.Open(vfs.Default, l.settings.Directory, instance, time.Now())
	if err != nil {
		return fmt.Errorf("the ledger can't be used: %w", err)
	}
	engine := l.host.Engine
	l.recorder = store.NewRecorder(l.store, l.calendar, clocks{l.host.Loop}, engine.Kinds(), engine.Customers())
	engine.SetMeter(l.recorder)
	l.recorder.Start()
	recovery := l.store.Recovery
	l.host.Log.Info().Str("instance", l.store.Instance).Uint64("epoch", l.store.Epoch).Bool("new", recovery.Created).
		Int("entries", recovery.Entries).Dur("took", recovery.Duration).Msg("ledger is kept")
	return nil
}

// startExport starts the background work, if there is any.
func (l *ledgerService) startExport() error {
	if l.settings.ExportDirectory != "" {
		directory, err := sink.OpenDirectory(l.settings.ExportDirectory)
		if err != nil {
			return err
		}
		l.sinks["folder"] = directory
	}
	if l.settings.ExportURL != "" {
		l.sinks["http"] = sink.NewHTTP(l.settings.ExportURL)
	}
	if len(l.sinks) == 0 && l.settings.RetentionMs <= 0 {
		return nil
	}
	l.work = runner.New(background.Budget{TimeMsPerS: backgroundTimeMsPerS, BytesPerS: backgroundBytesPerS, BurstS: backgroundBurstS})
	for name, to := range l.sinks {
		exporter, err := sink.NewExporter(l.store, name, to, l.settings.BatchEntries, l.settings.ExportIntervalMs)
		if err != nil {
			return err
		}
		exporter.OnFailure = func(err error) {
			l.host.Log.Warn().Err(err).Str("to", name).Msg("ledger is not exported; entries wait")
		}
		l.work.Add("export to "+name, background.Low, 0, exporter.Step)
	}
	if l.settings.RetentionMs > 0 {
		l.work.Add("retention", background.Idle, retireIntervalMs, l.retire)
	}
	l.work.Start()
	return nil
}

// retire removes entries that are older than the retention and exported everywhere. It gives the
// bytes that it read, and after how many ms it is to be called again.
func (l *ledgerService) retire() (bytes, again float64) {
	retired := 0
	err := l.recorder.Exclusive(shutdownTimeout, func(s *store.Store) (err error) {
		before := time.Now().UnixMilli() - int64(l.settings.RetentionMs)
		retired, err = s.Retire(l.calendar, before, maxRetired, slices.Sorted(maps.Keys(l.sinks))...)
		return err
	})
	if err != nil {
		l.host.Log.Warn().Err(err).Msg("ledger's old entries are not let go of")
	}
	if retired == maxRetired {
		return retiredBytes * float64(retired), 0
	}
	return retiredBytes * float64(retired), retireIntervalMs
}

// watchDisk logs what is wrong with the disk, once each time that changes, until close.
func (l *ledgerService) watchDisk() {
	ticker := time.NewTicker(faultPollInterval)
	defer ticker.Stop()
	logged := ""
	for {
		select {
		case <-ticker.C:
		case <-l.quit:
			return
		}
		fault := ""
		if text := l.store.Disk.Fault.Load(); text != nil {
			fault = *text
		}
		if fault != logged {
			logged = fault
			l.logFault(fault)
		}
	}
}

// logFault logs a fault of the disk; empty: it has none any more.
func (l *ledgerService) logFault(fault string) {
	if fault == "" {
		l.host.Log.Info().Msg("ledger is written again")
		return
	}
	keys, _ := l.recorder.Pending()
	l.host.Log.Warn().Str("trouble", fault).Int("keys_waiting", keys).Msg("ledger is not written; uses wait")
}

// close stops the background work, then the recorder, then the store. Where one of the former stands
// still with the disk, the rest is left as it is: what is durable stays so.
func (l *ledgerService) close() {
	close(l.quit)
	if l.work != nil && !l.work.Stop(shutdownTimeout) {
		return
	}
	complete := l.recorder.Stop(shutdownTimeout)
	_, uses := l.recorder.Pending()
	l.host.Log.Info().Bool("whole", complete).Int64("uses", uses).Int64("durable", l.recorder.DurableSearches()).Msg("ledger is closed")
	if complete {
		l.store.Close()
	}
}
