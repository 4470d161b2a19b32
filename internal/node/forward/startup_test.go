package forward

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// starting puts a proxy into the start of its process: it holds a configuration once that is noted, and may serve what needs
// a key once it is confirmed.
func starting(startup *Startup, bounds Bounds) setup {
	return func(w *world, options *Options) {
		options.Startup = startup
		options.Bounds = bounds
		options.Configuration = func() *config.Compiled {
			if lacking, _ := startup.lacks(knowsConfiguration); lacking {
				return nil
			}
			return w.config.compiled
		}
		options.MayServe = func(_ core.Time, public bool) bool {
			lacking, _ := startup.lacks(knowsConfirmed)
			return public || !lacking
		}
	}
}

var (
	unconfirmedWithoutBrokers = Knowledge{Configuration: true}
	unconfirmed               = Knowledge{Configuration: true, Brokers: true}
	brokersUnknown            = Knowledge{Configuration: true, Confirmed: true}
	everything                = Knowledge{Configuration: true, Confirmed: true, Brokers: true}
)

// TestRequestsWaitForStartup, whatever comes last.
func TestRequestsWaitForStartup(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []Knowledge
	}{
		{"all at once", []Knowledge{everything}},
		{"the configuration first", []Knowledge{unconfirmedWithoutBrokers, unconfirmed, everything}},
		{"the brokers last", []Knowledge{unconfirmedWithoutBrokers, brokersUnknown, everything}},
	} {
		t.Run(test.name, func(t *testing.T) {
			only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
			startup := NewStartup()
			w := newWorld(t, newScriptedRouter(only.instance), starting(startup, Bounds{StartupWait: testTimeout}))
			c := w.client()
			c.send(post("/unsafe/a", "r1", "body"))
			<-w.contexts
			for _, known := range test.steps {
				assert.Equal(t, only.arrived(), 0)
				startup.Update(known)
			}
			assert.Equal(t, c.read("POST").body, "ok")
		})
	}
}

// TestFinishedStartupDelaysNothing: what is lacking then is refused at once.
func TestFinishedStartupDelaysNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(*world, *Startup)
	}{
		{"ended", func(_ *world, s *Startup) { s.End() }},
		{"all known", func(_ *world, s *Startup) { s.Update(everything) }},
		{"stopping", func(w *world, _ *Startup) { w.proxy.Drain() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
			startup := NewStartup()
			w := newWorld(t, newScriptedRouter(only.instance), starting(startup, Bounds{StartupWait: testTimeout}),
				func(_ *world, options *Options) { options.Configuration = func() *config.Compiled { return nil } })
			test.end(w, startup)
			got := w.do(post("/unsafe/a", "r1", "body"))
			assert.Equal(t, got.StatusCode, 503)
			assert.Equal(t, retryAfter(t, got), DefaultUnreadyRetryAfter)
		})
	}
}

// TestStartupWaitIsBounded by a fixed time, and by a share of what the client will wait. The client is then told to come
// again when the start is likely to be over.
func TestStartupWaitIsBounded(t *testing.T) {
	for _, test := range []struct {
		name    string
		bounds  Bounds
		headers []string
	}{
		{"by a fixed time", Bounds{StartupWait: time.Millisecond}, nil},
		// A third of it is waited; the rest is more than a busy machine delays a thread.
		{"by the client's deadline", Bounds{StartupWait: testTimeout}, []string{headerDeadline + ": 300"}},
	} {
		for _, known := range []Knowledge{{}, unconfirmedWithoutBrokers, brokersUnknown} {
			t.Run(test.name, func(t *testing.T) {
				startup := NewStartup()
				startup.Update(known)
				w := newWorld(t, newScriptedRouter(), starting(startup, test.bounds))
				w.port.refusal.RetryAfter = DefaultStartupRetryAfter
				got := w.do(post("/unsafe/a", "r1", "body", test.headers...))
				assert.Equal(t, got.StatusCode, 503)
				assert.Equal(t, got.Header.Get(headerRequestID), "r1")
				assert.Equal(t, retryAfter(t, got), DefaultStartupRetryAfter)
			})
		}
	}
}

func retryAfter(t *testing.T, got reply) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(got.Header.Get(headerRetryAfter), 64)
	assert.NilError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// TestNothingIsDeniedUnderUnconfirmedConfiguration: the one that a process held before it ended may lack the request's route.
func TestNothingIsDeniedUnderUnconfirmedConfiguration(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	startup := NewStartup()
	startup.Update(unconfirmed)
	w := newWorld(t, newScriptedRouter(only.instance), starting(startup, Bounds{StartupWait: testTimeout}),
		func(w *world, _ *Options) {
			w.config.without = func() bool {
				lacking, _ := startup.lacks(knowsConfirmed)
				return lacking
			}
		})
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	<-w.contexts
	startup.Update(everything)
	assert.Equal(t, c.read("POST").StatusCode, 200)

	absent := w.do(get("/none/a", "r2"))
	assert.Equal(t, absent.StatusCode, 404)
}

// TestUnconfirmedConfigurationRejectsUnknownRoutes, where it isn't confirmed in time.
func TestUnconfirmedConfigurationRejectsUnknownRoutes(t *testing.T) {
	startup := NewStartup()
	startup.Update(unconfirmed)
	w := newWorld(t, newScriptedRouter(), starting(startup, Bounds{StartupWait: time.Millisecond}),
		func(_ *world, options *Options) { options.MayServe = func(core.Time, bool) bool { return true } })
	assert.Equal(t, w.do(get("/none/a", "r1")).StatusCode, 503)
	startup.End()
	assert.Equal(t, w.do(get("/none/a", "r2")).StatusCode, 404)
}

// TestUnconfirmedConfigurationServes where nothing forbids it: keys can't be revoked everywhere.
func TestUnconfirmedConfigurationServes(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	startup := NewStartup()
	startup.Update(unconfirmed)
	w := newWorld(t, newScriptedRouter(only.instance), starting(startup, Bounds{StartupWait: testTimeout}),
		func(_ *world, options *Options) { options.MayServe = func(core.Time, bool) bool { return true } })
	assert.Equal(t, w.do(post("/unsafe/a", "r1", "body")).body, "ok")
}

// TestDisconnectEndsStartupWait: nothing is sent for it.
func TestDisconnectEndsStartupWait(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	startup := NewStartup()
	startup.Update(unconfirmedWithoutBrokers)
	w := newWorld(t, newScriptedRouter(only.instance), starting(startup, Bounds{StartupWait: testTimeout}))
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	request := <-w.contexts
	c.socket.Close()
	<-request.Done()
	startup.Update(everything)
	assert.NilError(t, w.proxy.server.Shutdown(t.Context()))
	assert.Equal(t, only.arrived(), 0)
}
