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

// clocks gives the ledger's recorder the system's clock and the event loop's.
type clocks struct{ loop *transport.Loop }

// WallMs implements store.Clocks; it returns the system's Unix time in milliseconds.
func (c clocks) WallMs() int64 { return time.Now().UnixMilli() }

// SteadyMs implements store.Clocks; it returns the loop's monotonic time in milliseconds.
func (c clocks) SteadyMs() float64 { return c.loop.Now() }

// Calendar returns the calendar of accounting periods that the operator's file configures.
func Calendar(settings *operator.Ledger) (*ledger.Calendar, error) {
	zone, err := time.LoadLocation(settings.Zone)
	if err != nil {
		return nil, err
	}
	return &ledger.Calendar{Zone: zone, Unit: settings.PeriodUnit, Hours: settings.Hours, GraceMs: int64(settings.GraceMs)}, nil
}

const (
	// faultPollInterval is how often the disk is checked for a fault to log.
	faultPollInterval = time.Second
	// shutdownTimeout is how long the recorder and the background work may each take to stop, and how
	// long retention waits for the recorder.
	shutdownTimeout = 2 * time.Second

	// The budget of the background work limits what it takes from serving, to 5% of a core and 2 MiB/s.
	backgroundTimeMsPerS = 50.
	backgroundBytesPerS  = 2 << 20
	backgroundBurstS     = 0.5 // seconds of unused budget that may be saved up

	retireIntervalMs = 60e3
	maxRetired       = 2000 // entries retired at a time; recording waits meanwhile
	retiredBytes     = 200. // bytes read for each entry retired
)

// ledgerService is the usage ledger of one aggregator: its store, the recorder of searches, and the
// background work that exports entries and retires old ones.
type ledgerService struct {
	host     *server.Host
	settings *operator.Ledger
	calendar *ledger.Calendar
	store    *store.Store
	recorder *store.Recorder
	sinks    map[string]sink.Sink // by name
	work     *runner.Runner       // nil if nothing is exported or retired
	quit     chan struct{}        // closed to end watchDisk
}

// startLedger opens the ledger and has the engine report each search to it. An aggregator whose
// ledger fails verification does not start: an operator has to examine the ledger first. stop closes
// the ledger and is called once the event loop has ended.
func startLedger(host *server.Host, settings *operator.Ledger) (stop func(), err error) {
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

// open opens the store, verifies it, and starts recording.
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
	l.recorder = store.NewRecorder(l.store, l.calendar, clocks{l.host.Loop}, engine.QueryTypeNames(), engine.CustomerNames())
	engine.SetMeter(l.recorder)
	l.recorder.Start()
	recovery := l.store.Recovery
	l.host.Log.Info().Str("instance", l.store.Instance).Uint64("epoch", l.store.Epoch).Bool("new", recovery.Created).
		Int("entries", recovery.Entries).Dur("took", recovery.Duration).Msg("ledger is kept")
	return nil
}

// startExport starts the background work, if an export or a retention is configured.
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
	for name, target := range l.sinks {
		exporter, err := sink.NewExporter(l.store, name, target, l.settings.BatchEntries, l.settings.ExportIntervalMs)
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

// retire removes entries that are older than the retention and that every sink has received, at most
// maxRetired of them. It is a runner.Step: it returns the bytes that it read, and in how many
// milliseconds it is due again.
func (l *ledgerService) retire() (bytes, againMs float64) {
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

// watchDisk logs the disk's fault each time it changes, until quit is closed.
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

// logFault logs a fault of the disk, or that the disk has recovered if fault is empty.
func (l *ledgerService) logFault(fault string) {
	if fault == "" {
		l.host.Log.Info().Msg("ledger is written again")
		return
	}
	keys, _ := l.recorder.Pending()
	l.host.Log.Warn().Str("trouble", fault).Int("keys_waiting", keys).Msg("ledger is not written; uses wait")
}

// close stops the background work, then the recorder, then the store. If the background work or the
// recorder does not stop in time because the disk hangs, what comes after it stays open; durable
// entries are not affected.
func (l *ledgerService) close() {
	close(l.quit)
	if l.work != nil && !l.work.Stop(shutdownTimeout) {
		return
	}
	stopped := l.recorder.Stop(shutdownTimeout)
	_, uses := l.recorder.Pending()
	l.host.Log.Info().Bool("whole", stopped).Int64("uses", uses).Int64("durable", l.recorder.DurableSearches()).Msg("ledger is closed")
	if stopped {
		l.store.Close()
	}
}
