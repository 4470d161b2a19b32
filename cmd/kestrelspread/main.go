// Command kestrelspread is one broker: searches in over HTTP, their parts out to the servers that the module
// chooses. What it is told stands in the environment and in the file that RELAY_CONFIG names; see README.md.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"kestrelspread/internal/protocol"
	"kestrelspread/internal/routing"
	"kestrelspread/internal/settings"
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

func main() {
	if err := run(os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "kestrelspread:", err)
		os.Exit(1)
	}
}

func load() (c config, err error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return c, errors.New("RELAY_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("config %s: %w", path, err)
	}
	for name, at := range map[string]*string{"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen,
		"RELAY_DISCOVERY": &c.Discovery} {
		if v := os.Getenv(name); v != "" {
			*at = v
		}
	}
	if len(c.Settings) == 0 {
		return c, fmt.Errorf("config %s: no settings", path)
	}
	return c, nil
}

func run(stderr io.Writer) error {
	c, err := load()
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("listen address: %w", err)
	}
	discovery, err := netip.ParseAddrPort(c.Discovery)
	if err != nil {
		return fmt.Errorf("discovery address: %w", err)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	set, err := settings.FromJSON(c.Settings)
	if err != nil {
		return err
	}
	if set.Count("classes") == 0 {
		return errors.New("settings: no classes")
	}

	sockets := descriptors(c.Limits.Sockets)
	memory := int64(c.Limits.MemoryMB * (1 << 20))
	if memory <= 0 {
		memory = 512 << 20
	}
	// The collector has to start before the limit: past it the broker is killed. Buffers may take a third.
	debug.SetMemoryLimit(memory * 6 / 10)
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(max(int(c.Limits.Cores), 1))
	const size = protocol.MaxHead + protocol.MaxBody + 4<<10
	pool := &transport.Pool{Size: size, Most: int(memory / 3 / size)}

	// Lines wait in a ring and are dropped, and counted, where standard error is slower than they come.
	var dropped atomic.Int64
	ring := diode.NewWriter(stderr, 1000, 0, func(missed int) { dropped.Add(int64(missed)) })
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(ring).With().Timestamp().Str("broker", c.Name).Logger()

	loop, err := transport.New(pool)
	if err != nil {
		return err
	}
	if err := loop.Listen(listen); err != nil {
		return fmt.Errorf("%s: %w", listen, err)
	}
	router := routing.New(loop, pool, log, set, seed, sockets, c.Known, discovery, loop.Epoch())

	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				loop.Tell(routing.Report)
			} else {
				loop.Tell(routing.Terminate)
			}
		}
	}()

	log.Info().Str("listen", netip.AddrPortFrom(listen.Addr(), uint16(loop.Port())).String()).
		Int("sockets", sockets).Int64("memory", memory).Msg("serving")
	err = loop.Run(router)
	router.Print("at the end")
	log.Info().Int64("turns", loop.Turns).Int64("log_dropped", dropped.Load()).Msg("stopped")
	flush(ring)
	return err
}

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
func flush(ring diode.Writer) {
	done := make(chan struct{})
	go func() {
		ring.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
	}
}
