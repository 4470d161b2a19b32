// Package server is the program of one aggregator: searches in over HTTP, their shard requests out
// to the servers that the policy chooses. Its configuration is in the environment and in the file
// that RELAY_CONFIG names; see README.md. It links nothing but what every aggregator needs:
// extensions are attached by those commands that have them.
//
// It wires; it decides nothing and keeps no state of searches. One goroutine runs the loop and owns
// the engine; the others forward signals, read configuration and write the log.
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

// Host is what an extension is attached to, before the loop runs.
type Host struct {
	Name        string
	Loop        *transport.Loop
	Engine      *engine.Engine
	Settings    settings.Values
	Seed        uint64
	MemoryBytes int64 // bytes that this process may take
	Log         zerolog.Logger
}

// Hooks are an extension's calls; each may be nil.
type Hooks struct {
	Reload    func() // beside the loop, each time SIGHUP comes
	AfterLoop func() // after the loop's end
}

// Extension adds a part of the program before the loop runs.
type Extension func(host *Host) (Hooks, error)

// Run is an aggregator from its start to its end; its log goes to stderr. An error is one line of
// why it did not start.
func Run(stderr io.Writer, extensions ...Extension) error {
	// Before anything else: what a signal does by default ends the process.
	signals := notifySignals()
	c, err := loadConfig(true)
	if err != nil {
		return err
	}
	memory := limitProcess(&c)
	const bufferSize = protocol.MaxHead + protocol.MaxBody + frameOverhead
	pool := &transport.Pool{Size: bufferSize, Max: int(memory / bufferShare / bufferSize)}

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
	go reloader.run(signals.reload) // apart, as reading a file may take its time and a stop must not wait for it
	go signals.forward(loop)

	log.Info().Str("listen", netip.AddrPortFrom(c.listen.Addr(), uint16(loop.Port(0))).String()).
		Int("sockets", sockets).Int64("memory", memory).Msg("serving")
	err = loop.Run(e)
	e.Print("at the end")
	for i := len(hooks) - 1; i >= 0; i-- {
		if hooks[i].AfterLoop != nil {
			hooks[i].AfterLoop()
		}
	}
	log.Info().Int64("turns", loop.Turns).Int64("log_dropped", output.dropped.Load()).Msg("stopped")
	flush(output)
	return err
}

// signals has a channel for each kind: a signal that finds its channel full is dropped, so others
// must not fill it. Of one kind, the one that waits stands for those after it.
type signals struct{ stop, report, reload chan os.Signal }

func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.report, syscall.SIGUSR1)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// forward notifies the loop of signals to stop and to report. It runs as long as the process.
func (s signals) forward(loop *transport.Loop) {
	for {
		select {
		case <-s.stop:
			loop.Notify(engine.Terminate)
		case <-s.report:
			loop.Notify(engine.Report)
		}
	}
}

// limitProcess sets the runtime's limits, and gives the bytes that the process may take. The
// collector has to start before that limit: past it the process is killed.
func limitProcess(c *loadedConfig) (memory int64) {
	memory = int64(min(c.Limits.MemoryMB, maxMemoryMB) * (1 << 20))
	if memory <= 0 {
		memory = defaultMemory
	}
	debug.SetMemoryLimit(memory * collectorTenths / 10)
	debug.SetGCPercent(garbagePercent)
	runtime.GOMAXPROCS(int(min(max(c.Limits.Cores, 1), maxCores)))
	return memory
}

// attach adds the extensions, in their order; the first that fails ends the start.
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

// listen listens on an address. Where this aggregator is started before the one it replaces has let
// go of it, that one is waited for: it serves on until the address closes, and a start refused for
// it would leave nobody there.
func listen(loop *transport.Loop, address netip.AddrPort, stop <-chan os.Signal, log zerolog.Logger) (stopped bool, err error) {
	since := time.Now()
	for first := true; ; first = false {
		switch err := loop.Listen(address); {
		case err == nil:
			return false, nil
		case !errors.Is(err, syscall.EADDRINUSE) || time.Since(since) > addressInUseTimeout:
			return false, fmt.Errorf("%s: %w", address, err)
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
	flushTimeout        = time.Second

	// A configuration may state more than any machine has; a number that does not fit must not
	// become another one.
	maxMemoryMB = 1 << 20
	maxCores    = 256

	defaultMemory      = 512 << 20 // bytes
	defaultDescriptors = 1024
	maxUsedDescriptors = 1 << 20
	bufferShare        = 3       // of the memory, one in so many bytes at most is in buffers
	frameOverhead      = 4 << 10 // bytes of a frame beside its query
	collectorTenths    = 6       // of the memory, where the collector starts whatever it costs
	garbagePercent     = 200     // garbage that may be beside what lives, in percent of it

	maxQueuedLines = 1000 // log lines that wait for their reader
)

// maxDescriptors is how many this process may hold: the configured number (0: any), or what the
// system allows if that is less.
func maxDescriptors(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		limit.Cur = defaultDescriptors
	}
	most := int(min(limit.Cur, maxUsedDescriptors))
	if configured > 0 {
		most = min(most, configured)
	}
	return most
}

// flush waits for the last lines, but not for a reader that has stopped reading.
func flush(output *asyncWriter) {
	select {
	case <-output.Close():
	case <-time.After(flushTimeout):
	}
}
