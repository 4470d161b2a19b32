package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"kestrelspread/internal/node/controlapi"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/earlysignal"
	"kestrelspread/internal/node/settings"
	"kestrelspread/internal/node/wireproto/link"
)

// Times of a graceful shutdown (DEPLOY.md: SIGKILL follows graceS after SIGTERM).
const (
	defaultGrace = 8 * time.Second
	// acceptRequestsLimit is for how long new requests are accepted: the platform checks readiness each
	// second, and stops sending after two failures. Later requests might not end in time; they are
	// rejected.
	acceptRequestsLimit = 2500 * time.Millisecond
	// acceptRequestsShare of the grace bounds acceptRequestsLimit, and acceptConnectionsShare of it is
	// how long new connections are accepted.
	acceptRequestsShare    = 0.35
	acceptConnectionsShare = 0.45
	// abortMargin, or abortMarginShare of the grace if that is less, is left when requests still in
	// flight are aborted.
	abortMargin      = 600 * time.Millisecond
	abortMarginShare = 0.12
	// leaveDelay is left for the announcement of leaving to reach the other nodes.
	leaveDelay = 300 * time.Millisecond
)

// stopTimes are the steps of a graceful shutdown, as time since its start: new requests are refused,
// listeners are closed, requests in flight are aborted.
type stopTimes struct{ refuseAfter, closeAfter, abortAfter time.Duration }

// stopTimesOf returns the times of a shutdown within the grace.
func stopTimesOf(grace time.Duration) stopTimes {
	share := func(part float64) time.Duration { return time.Duration(part * float64(grace)) }
	return stopTimes{
		refuseAfter: min(acceptRequestsLimit, share(acceptRequestsShare)),
		closeAfter:  share(acceptConnectionsShare),
		abortAfter:  grace - min(abortMargin, share(abortMarginShare)),
	}
}

// serve runs the node until ctx ends or a signal stops it. SIGHUP reloads the settings.
func (a *Agent) serve(ctx context.Context, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	if err := a.openNetwork(); err != nil {
		return err
	}
	defer a.network.Close()
	servers, err := a.startServers()
	if err != nil {
		return err
	}
	go a.loop(ctx)
	watcher := settings.NewWatcher(path, a.settings, settingsCheckInterval, a.settingsChanged)
	go watcher.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			servers.close()
			return nil
		case <-earlysignal.HangUps():
			watcher.RequestReload()
		case <-signals:
			a.stop(servers)
			return nil
		}
	}
}

// openNetwork listens for the other nodes and connects the control loop to them.
func (a *Agent) openNetwork() error {
	network, err := link.New(link.Options{
		ListenAddress: a.self.Address,
		SelfID:        a.self.NodeId,
		SelfAddress:   a.self.Address,
		Receive:       a.receive,
		NetworkMap:    a.options.NetworkMap,
		Log:           a.log,
	})
	a.network = network
	return err
}

// servers are the node's servers besides the one for other nodes. One that isn't configured is nil.
type servers struct {
	control   *http.Server
	readiness *http.Server
	front     net.Listener
}

func (s *servers) close() {
	for _, server := range []*http.Server{s.control, s.readiness} {
		if server != nil {
			_ = server.Close()
		}
	}
	if s.front != nil {
		_ = s.front.Close()
	}
}

// startServers starts the servers that the settings name. A server's goroutine ends with its listener.
// Where one can't listen, the others are closed.
func (a *Agent) startServers() (*servers, error) {
	started := &servers{}
	for _, start := range []func(*servers) error{a.startControl, a.startReadiness, a.startFront} {
		if err := start(started); err != nil {
			started.close()
			return nil, err
		}
	}
	return started, nil
}

// startControl starts the server for brokers and operators.
func (a *Agent) startControl(started *servers) error {
	address := a.settings.Listen.Control
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for brokers and operators: %w", err)
	}
	handler := controlapi.Handler(backend{a}, controlapi.Options{Log: a.log, MaxBodyBytes: int64(a.maxConfigurationBytes())})
	server, limited := controlapi.NewControlServer(listener, handler, a.maxControlConnections())
	started.control = server
	go func() { _ = server.Serve(limited) }()
	return nil
}

// startReadiness starts the server for readiness checks.
func (a *Agent) startReadiness(started *servers) error {
	address := a.settings.Listen.Readiness
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	server, limited := controlapi.NewReadinessServer(listener, a.ready)
	started.readiness = server
	go func() { _ = server.Serve(limited) }()
	return nil
}

// startFront starts the proxy's server for clients.
func (a *Agent) startFront(started *servers) error {
	address := a.settings.Listen.Front
	if address == "" {
		return nil
	}
	listener, err := listenPlain(address)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	started.front = listener
	go func() { _ = a.proxy.Serve(listener) }()
	return nil
}

// listenPlain listens without the keep-alive settings that net.Listen makes on each connection: the
// proxy has its own.
func listenPlain(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", address)
}

// settingsChanged applies what may change while the node runs: the seeds.
func (a *Agent) settingsChanged(changed *settings.Settings) {
	a.post(func(core.Time) {
		a.log.Info("agent: settings changed")
		a.control.SetSeeds(changed.SeedInternalAddresses())
	})
}

// stop shuts the node down within the grace, in this order: readiness falls and clients are told to
// reconnect elsewhere; the place in the chain, and the role with it, is handed over; new requests are
// refused; requests in flight end or are aborted; the node announces to the others that it leaves.
func (a *Agent) stop(servers *servers) {
	grace := a.settings.Bounds.Grace()
	if grace <= 0 {
		grace = defaultGrace
	}
	a.log.Info("agent: stopping", "grace", grace)
	a.stopping.Store(true)
	a.proxy.Drain()
	a.post(func(now core.Time) { a.execute(now, a.control.HandOver(now)) })
	stopStarted, times := time.Now(), stopTimesOf(grace)
	time.Sleep(times.refuseAfter)
	a.proxy.RejectNew()
	time.Sleep(time.Until(stopStarted.Add(times.closeAfter)))
	shutdownContext, cancel := context.WithDeadline(context.Background(), stopStarted.Add(times.abortAfter))
	defer cancel()
	_ = a.proxy.Shutdown(shutdownContext)
	left := make(chan struct{})
	a.post(func(now core.Time) {
		a.execute(now, a.control.Leave(now))
		close(left)
	})
	<-left
	time.Sleep(leaveDelay)
	servers.close()
}
