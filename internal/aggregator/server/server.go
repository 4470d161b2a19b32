// Package server runs one aggregator process: clients send searches over HTTP, and the aggregator
// sends their shard requests to the servers that the policy chooses. Its configuration comes from
// the environment and from the file that RELAY_CONFIG names; see README.md. The package links only
// what every aggregator needs; commands that offer extensions attach them through Extension.
//
// The package only connects the parts: it makes no routing decisions and keeps no state of
// searches. One goroutine runs the event loop and owns the engine; the others forward signals,
// reload the configuration and write the log.
package server

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// Host gives an extension access to the parts of the aggregator before the event loop runs.
type Host struct {
	Name        string // of this aggregator, from the configuration
	Loop        *transport.Loop
	Engine      *engine.Engine
	Settings    settings.Values
	Seed        uint64 // of random choices
	MemoryBytes int64  // memory limit of this process
	Log         zerolog.Logger
}

// Hooks are an extension's callbacks; each may be nil.
type Hooks struct {
	Reload    func() // called at each SIGHUP, in another goroutine than the loop's
	AfterLoop func() // called once the loop has ended
}

// Extension attaches an optional part of the program to host before the event loop runs. An error
// aborts the start of the aggregator.
type Extension func(host *Host) (Hooks, error)

// Run runs an aggregator until it is told to stop by SIGTERM or SIGINT. It logs to stderr, and
// returns an error if the aggregator could not start or its loop failed.
func Run(stderr io.Writer, extensions ...Extension) error {
	// Before anything else, because the default action of these signals ends the process.
	signals := notifySignals()
	c, err := loadConfig(true)
	if err != nil {
		return err
	}
	memory := limitProcess(&c)
	const bufferSize = protocol.MaxHead + protocol.MaxBody + frameOverhead // bytes
	pool := &transport.Pool{Size: bufferSize, Max: int(memory / bufferMemoryDivisor / bufferSize)}

	output := newAsyncWriter(stderr, maxQueuedLines)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(output).With().Timestamp().Str("broker", c.Name).Logger()

	loop, err := transport.New(pool)
	if err != nil {
		return err
	}
	if stopped, err := listen(loop, c.listen, signals.stop, log); err != nil || stopped {
		flush(output)
		return err
	}
	sockets := maxDescriptors(c.Limits.Sockets)
	e := engine.New(loop, pool, log, c.settings, c.seed, sockets, c.Known, c.discovery, loop.Epoch())
	host := &Host{Name: c.Name, Loop: loop, Engine: e, Settings: c.settings, Seed: c.seed, MemoryBytes: memory, Log: log}
	hooks, err := attach(host, extensions)
	if err != nil {
		flush(output)
		return err
	}
	reloader := newReloader(c, host, hooks)
	go reloader.run(signals.reload) // apart from the other signals: a stop must not wait for a slow read of the file
	go signals.forward(loop)

	log.Info().Str("listen", netip.AddrPortFrom(c.listen.Addr(), uint16(loop.Port(0))).String()).
		Int("sockets", sockets).Int64("memory", memory).Msg("serving")
	err = loop.Run(e)
	e.LogCounters("at the end")
	for i := len(hooks) - 1; i >= 0; i-- {
		if hooks[i].AfterLoop != nil {
			hooks[i].AfterLoop()
		}
	}
	log.Info().Int64("turns", loop.Turns).Int64("log_dropped", output.dropped.Load()).Msg("stopped")
	flush(output)
	return err
}

// signals holds a channel for each kind of signal. A signal that finds its channel full is dropped,
// so signals of another kind must not be able to fill it. A dropped signal of the same kind is
// harmless: the one already queued has the same effect.
type signals struct{ stop, report, reload chan os.Signal }

// notifySignals starts delivery of the signals that the process handles, and ignores SIGPIPE.
func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.report, syscall.SIGUSR1)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// forward notifies the loop of signals to stop and to report. It never returns.
func (s signals) forward(loop *transport.Loop) {
	for {
		select {
		case <-s.stop:
			loop.Notify(engine.Terminate)
		case <-s.report:
			loop.Notify(engine.ReportCounters)
		}
	}
}

// limitProcess applies the configured limits to the Go runtime and returns the memory in bytes that
// the process may use. The garbage collector's soft limit is set below it, because the process is
// killed when it exceeds its memory.
func limitProcess(c *loadedConfig) (memory int64) {
	memory = int64(min(c.Limits.MemoryMB, maxMemoryMB) * (1 << 20))
	if memory <= 0 {
		memory = defaultMemory
	}
	debug.SetMemoryLimit(memory * gcLimitTenths / 10)
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(int(min(max(c.Limits.Cores, 1), maxCores)))
	return memory
}

// attach runs the extensions in order and collects their hooks. It stops at the first that fails
// and returns that error.
func attach(host *Host, extensions []Extension) (hooks []Hooks, err error) {
	for _, extension := range extensions {
		h, err := extension(host)
		if err != nil {
			return nil, err
		}
		hooks = append(hooks, h)
	}
	return hooks, nil
}

// listen has the loop listen on an address. While the address is in use, it retries for up to
// addressInUseTimeout: the aggregator that this one replaces may still be shutting down, and giving
// up would leave nobody serving the address once that one has closed it. It reports whether a
// signal to stop arrived in the meantime.
func listen(loop *transport.Loop, address netip.AddrPort, stop <-chan os.Signal, log zerolog.Logger) (stopped bool, err error) {
	startedAt := time.Now()
	for first := true; ; first = false {
		switch err := loop.Listen(address); {
		case err == nil:
			return false, nil
		case !errors.Is(err, syscall.EADDRINUSE) || time.Since(startedAt) > addressInUseTimeout:
			return false, fmt.Errorf("listen on %s: %w", address, err)
		}
		if first {
			log.Info().Str("listen", address.String()).Msg("the address is in use, waiting")
		}
		select {
		case <-stop:
			return true, nil
		case <-time.After(addressInUseRetry):
		}
	}
}

const (
	addressInUseTimeout = 10 * time.Second // an aggregator that stops closes its address within 2.3 s
	addressInUseRetry   = 100 * time.Millisecond
	flushTimeout        = time.Second // for the last log lines

	// Upper bounds for configured limits: a configuration may state more than any machine has, and a
	// number too large for its integer type would turn into an arbitrary other one.
	maxMemoryMB = 1 << 20
	maxCores    = 256

	defaultMemory      = 512 << 20 // bytes
	defaultDescriptors = 1024      // if the system's limit can't be read
	maxUsedDescriptors = 1 << 20

	// bufferMemoryDivisor limits the transport's buffers to a third of the memory.
	bufferMemoryDivisor = 3
	// frameOverhead is the room in bytes for the parts of a frame other than its query.
	frameOverhead = 4 << 10
	// gcLimitTenths is the share of the memory, in tenths, past which the garbage collector runs
	// regardless of its CPU cost.
	gcLimitTenths = 6
	// gcPercent is how much garbage may accumulate between collections, in percent of the live heap.
	gcPercent = 200

	maxQueuedLines = 1000 // log lines waiting to be written to stderr
)

// maxDescriptors returns how many file descriptors this process may hold: the configured number
// (0: no configured limit), or what the system allows if that is less.
func maxDescriptors(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		limit.Cur = defaultDescriptors
	}
	allowed := int(min(limit.Cur, maxUsedDescriptors))
	if configured > 0 {
		allowed = min(allowed, configured)
	}
	return allowed
}

// flush closes the log and waits until its last lines are written, for at most flushTimeout: the
// reader of stderr may have stopped reading.
func flush(output *asyncWriter) {
	select {
	case <-output.Close():
	case <-time.After(flushTimeout):
	}
}
