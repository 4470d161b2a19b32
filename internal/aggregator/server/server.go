// Package server is the program of one broker: searches in over HTTP, their parts out to the servers that the module
// chooses. What it is told stands in the environment and in the file that RELAY_CONFIG names; see README.md. It links
// nothing but what every broker needs: further fronts are attached by those commands that have them.
package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// config is the file's form; the environment goes before it.
type config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      string
	Limits    struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// Parts are what a further front is attached to, before the loop runs.
type Parts struct {
	Name   string
	Loop   *transport.Loop
	Engine *engine.Engine
	Set    settings.Values
	Seed   uint64
	Memory int64 // bytes that this process may take
	Log    zerolog.Logger
}

// Attached is what a part wants to be called for; each may be nil.
type Attached struct {
	Reload func() // beside the loop, each time SIGHUP comes
	End    func() // after the loop's end
}

// Attach adds a part before the loop runs.
type Attach func(p *Parts) (Attached, error)

// plan is a configuration that has proved sound.
type plan struct {
	config
	listen, discovery netip.AddrPort
	seed              uint64
	set               settings.Values
}

// load reads the file. The environment goes before it at the start alone, as it cannot change later; after that it
// gives what the file does not name.
func load(atStart bool) (p plan, err error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return p, errors.New("RELAY_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &p.config); err != nil {
		return p, fmt.Errorf("config %s: %w", path, err)
	}
	for name, at := range map[string]*string{"RELAY_NAME": &p.Name, "RELAY_LISTEN": &p.Listen,
		"RELAY_DISCOVERY": &p.Discovery} {
		if v := os.Getenv(name); v != "" && (atStart || *at == "") {
			*at = v
		}
	}
	if len(p.Settings) == 0 {
		return p, fmt.Errorf("config %s: no settings", path)
	}
	if p.listen, err = netip.ParseAddrPort(p.Listen); err != nil {
		return p, fmt.Errorf("config %s: listen address: %w", path, err)
	}
	if p.discovery, err = netip.ParseAddrPort(p.Discovery); err != nil {
		return p, fmt.Errorf("config %s: discovery address: %w", path, err)
	}
	if p.seed, err = strconv.ParseUint(p.Seed, 16, 64); err != nil {
		return p, fmt.Errorf("config %s: seed: %w", path, err)
	}
	if p.set, err = settings.FromJSON(p.Settings); err != nil {
		return p, fmt.Errorf("config %s: %w", path, err)
	}
	if p.set.Count("classes") == 0 {
		return p, fmt.Errorf("config %s: settings: no classes", path)
	}
	return p, nil
}

// needRestart names what differs and is not taken over while the program runs.
func (p *plan) needRestart(next *plan) (names []string) {
	for name, same := range map[string]bool{"name": p.Name == next.Name, "listen": p.Listen == next.Listen,
		"limits": p.Limits == next.Limits, "settings": maps.Equal(p.set, next.set)} {
		if !same {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reloads reads the file again, whole or not at all. What has changed since it was last read is taken over: what the
// environment named at the start stands until the file names something else.
type reloads struct {
	filed  plan
	log    zerolog.Logger
	router *engine.Engine
	loop   *transport.Loop
	extra  []func()
}

func (r *reloads) again() {
	for _, extra := range r.extra {
		extra()
	}
	next, err := load(false)
	if err != nil {
		r.log.Warn().Err(err).Msg("configuration not taken over")
		return
	}
	r.log.Info().Str("discovery", next.Discovery).Strs("need_restart", r.filed.needRestart(&next)).
		Msg("configuration read again")
	if next.discovery != r.filed.discovery {
		r.router.Discovery.Store(&next.discovery)
		r.loop.Tell(engine.MoveDiscovery)
	}
	r.filed.discovery = next.discovery
}

// Settings gives the settings of the configuration that the environment names, for checks beside a broker.
func Settings() (settings.Values, error) {
	p, err := load(true)
	return p.set, err
}

// Run is a broker from its start to its end; its log goes to stderr. An error is one line of why it did not start.
func Run(stderr io.Writer, attach ...Attach) error {
	// Before anything else: what a signal does by default ends the process.
	// A channel for each kind: a signal that finds its channel full is dropped, so others must not fill it. Of one kind, the
	// one that waits stands for those after it.
	stops, reports, rereads := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reports, syscall.SIGUSR1)
	signal.Notify(rereads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	c, err := load(true)
	if err != nil {
		return err
	}
	listen := c.listen

	sockets := descriptors(c.Limits.Sockets)
	memory := int64(min(c.Limits.MemoryMB, memoryMost) * (1 << 20))
	if memory <= 0 {
		memory = 512 << 20
	}
	// The collector has to start before the limit: past it the broker is killed. Buffers may take a third.
	debug.SetMemoryLimit(memory * 6 / 10)
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(int(min(max(c.Limits.Cores, 1), coresMost)))
	const size = protocol.MaxHead + protocol.MaxBody + 4<<10
	pool := &transport.Pool{Size: size, Most: int(memory / 3 / size)}

	waiting := newLines(stderr, linesMost)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(waiting).With().Timestamp().Str("broker", c.Name).Logger()

	loop, err := transport.New(pool)
	if err != nil {
		return err
	}
	if stopped, err := open(loop, listen, stops, log); err != nil || stopped {
		flush(waiting)
		return err
	}
	router := engine.New(loop, pool, log, c.set, c.seed, sockets, c.Known, c.discovery, loop.Epoch())

	var extra, ends []func()
	for _, a := range attach {
		part, err := a(&Parts{c.Name, loop, router, c.set, c.seed, memory, log})
		if err != nil {
			flush(waiting)
			return err
		}
		if part.Reload != nil {
			extra = append(extra, part.Reload)
		}
		if part.End != nil {
			ends = append(ends, part.End)
		}
	}

	again := &reloads{extra: extra, filed: c, log: log, router: router, loop: loop}
	if filed, err := load(false); err == nil {
		again.filed = filed
	}
	again.filed.Known, again.filed.Settings = nil, nil // only what is compared is kept
	go func() {                                        // apart, as reading a file may take its time and a stop must not wait for it
		for range rereads {
			again.again()
		}
	}()
	go func() {
		for {
			select {
			case <-stops:
				loop.Tell(engine.Terminate)
			case <-reports:
				loop.Tell(engine.Report)
			}
		}
	}()

	log.Info().Str("listen", netip.AddrPortFrom(listen.Addr(), uint16(loop.Port(0))).String()).
		Int("sockets", sockets).Int64("memory", memory).Msg("serving")
	err = loop.Run(router)
	router.Print("at the end")
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	log.Info().Int64("turns", loop.Turns).Int64("log_dropped", waiting.dropped.Load()).Msg("stopped")
	flush(waiting)
	return err
}

// open listens on an address. Where this broker is started before the one it replaces has let go of it, that one is waited
// for: it serves on until the address closes, and a start refused for it would leave nobody there.
func open(loop *transport.Loop, listen netip.AddrPort, stops <-chan os.Signal, log zerolog.Logger) (stopped bool, err error) {
	since := time.Now()
	for first := true; ; first = false {
		switch err := loop.Listen(listen); {
		case err == nil:
			return false, nil
		case !errors.Is(err, syscall.EADDRINUSE) || time.Since(since) > letGo:
			return false, fmt.Errorf("%s: %w", listen, err)
		}
		if first {
			log.Info().Str("listen", listen.String()).Msg("the address is in use, waiting")
		}
		select {
		case <-stops:
			return true, nil
		case <-time.After(letGoAgain):
		}
	}
}

const (
	letGo      = 10 * time.Second // a broker that stops closes its address within 2.3 s
	letGoAgain = 100 * time.Millisecond
)

// A configuration may state more than any machine has; a number that does not fit must not become another one.
const (
	memoryMost = 1 << 20 // MB
	coresMost  = 256

	linesMost = 1000 // log lines that wait for who reads them
)

// descriptors is how many this process may hold: what it is told, or what the system allows if that is less.
func descriptors(told int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		limit.Cur = 1024
	}
	most := int(min(limit.Cur, 1<<20))
	if told > 0 {
		most = min(most, told)
	}
	return most
}

// flush waits for the last lines, but not for a reader that has stopped reading.
func flush(waiting *lines) {
	select {
	case <-waiting.Close():
	case <-time.After(time.Second):
	}
}
