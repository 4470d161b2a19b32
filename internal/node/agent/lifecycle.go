package agent

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"kestrelspread/internal/node/controlapi"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/settings"
	"kestrelspread/internal/node/wireproto/link"
)

// The times of a stop (DEPLOY.md: graceS after SIGTERM comes SIGKILL).
const (
	defaultGrace = 8 * time.Second
	// acceptRequestsLimit is for how long new requests are taken: the platform asks each second and needs two missed answers to send no
	// more. Later ones might not be over in time, and are turned away.
	acceptRequestsLimit = 2500 * time.Millisecond
	// acceptRequestsShare of the grace bounds takeLimit, and listenShare how long new connections are accepted.
	acceptRequestsShare    = 0.35
	acceptConnectionsShare = 0.45
	// abortMargin, and finishShare of the grace at most, is left when requests that are still under way are cut off.
	abortMargin      = 600 * time.Millisecond
	abortMarginShare = 0.12
	// leaveDelay is for the word of leaving to reach the other nodes.
	leaveDelay = 300 * time.Millisecond
)

// stopTimes are the moments of a stop, counted from its beginning.
type stopTimes struct{ refuseAfter, closeAfter, abortAfter time.Duration }

func stopTimesOf(grace time.Duration) stopTimes {
	share := func(part float64) time.Duration { return time.Duration(part * float64(grace)) }
	return stopTimes{
		refuseAfter: min(acceptRequestsLimit, share(acceptRequestsShare)),
		closeAfter:  share(acceptConnectionsShare),
		abortAfter:  grace - min(abortMargin, share(abortMarginShare)),
	}
}

// serve runs the node until ctx ends or a signal tells it to stop.
func (a *Agent) serve(ctx context.Context, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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
		case received := <-signals:
			if received == syscall.SIGHUP {
				watcher.RequestReload()
				continue
			}
			a.stop(servers)
			return nil
		}
	}
}

func (a *Agent) openNetwork() error {
	network, err := link.New(link.Options{
		ListenAddress: a.self.Address,
		SelfID:        a.self.NodeId,
		SelfAddress:   a.self.Address,
		Receive:       a.receive,
		Log:           a.log,
	})
	a.network = network
	return err
}

// servers are the node's listeners besides the one for its peers.
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

func (a *Agent) startServers() (*servers, error) {
	started := &servers{}
	listen := a.settings.Listen
	if listen.Control != "" {
		listener, err := net.Listen("tcp", listen.Control)
		if err != nil {
			return nil, err
		}
		started.control = controlapi.NewServer(controlapi.Handler(backend{a}, controlapi.Options{
			Log: a.log, MaxBodyBytes: int64(a.maxConfigurationBytes()),
		}))
		go func() { _ = started.control.Serve(listener) }()
	}
	if listen.Readiness != "" {
		listener, err := net.Listen("tcp", listen.Readiness)
		if err != nil {
			return nil, err
		}
		started.readiness = controlapi.NewServer(controlapi.ReadinessHandler(a.ready))
		go func() { _ = started.readiness.Serve(listener) }()
	}
	if listen.Front != "" {
		listener, err := listenPlain(listen.Front)
		if err != nil {
			return nil, err
		}
		started.front = listener
		go func() { _ = a.proxy.Serve(listener) }()
	}
	return started, nil
}

// listenPlain listens without the keep-alive settings that net.Listen makes on each connection: the proxy has its own.
func listenPlain(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", address)
}

// settingsChanged takes over what may change while the node runs: the seeds.
func (a *Agent) settingsChanged(changed *settings.Settings) {
	a.post(func(now core.Time) {
		a.log.Info("settings changed")
		a.control.SetSeeds(changed.SeedInternalAddresses())
	})
}

// stop ends the node within the grace: readiness falls, duties and the head's place are handed over, requests end.
func (a *Agent) stop(servers *servers) {
	grace := a.settings.Bounds.Grace()
	if grace <= 0 {
		grace = defaultGrace
	}
	a.log.Info("stopping", "grace", grace)
	a.stopping.Store(true)
	a.proxy.Drain()
	a.post(func(now core.Time) { a.execute(now, a.control.HandOver(now)) })
	stopStarted, times := time.Now(), stopTimesOf(grace)
	time.Sleep(times.refuseAfter)
	a.proxy.RefuseNew()
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
