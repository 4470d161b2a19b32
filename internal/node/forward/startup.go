package forward

import (
	"sync"
	"time"

	"kestrelspread/internal/node/core"
)

// Knowledge is what a process must know before it can serve every request.
type Knowledge struct {
	Configuration bool // there is one
	Confirmed     bool // it was found to be the one in force
	Brokers       bool // the brokers of all services are known
}

// Complete reports whether nothing is lacking.
func (k Knowledge) Complete() bool { return k.Configuration && k.Confirmed && k.Brokers }

// Startup lets requests that arrive while a process starts wait for what it still lacks: usually
// that is there sooner than a rejected client is back. nil stands for a start that is over. Its
// methods are safe for concurrent use.
type Startup struct {
	mutex   sync.Mutex
	known   Knowledge
	over    bool
	changed chan struct{} // closed at the next change
}

// NewStartup returns the start of a process that knows nothing yet.
func NewStartup() *Startup { return &Startup{changed: make(chan struct{})} }

// Update sets what is known by now. The start is over once that is complete.
func (s *Startup) Update(known Knowledge) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.over || known == s.known {
		return
	}
	s.known = known
	s.over = known.Complete()
	s.notifyWaiters()
}

// End ends the start whatever is still lacking: requests wait no longer.
func (s *Startup) End() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.over {
		s.over = true
		s.notifyWaiters()
	}
}

// notifyWaiters wakes the requests that wait. The mutex must be held.
func (s *Startup) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lacks reports whether the process is starting and doesn't know enough. changed is closed at the
// next change.
func (s *Startup) lacks(enough func(Knowledge) bool) (lacking bool, changed <-chan struct{}) {
	if s == nil {
		return false, nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.over && !enough(s.known), s.changed
}

// Predicates of what requests wait for. knowsAll holds only once the start is over.
func knowsConfiguration(known Knowledge) bool { return known.Configuration }
func knowsConfirmed(known Knowledge) bool     { return known.Configuration && known.Confirmed }
func knowsBrokers(known Knowledge) bool       { return known.Configuration && known.Brokers }
func knowsAll(Knowledge) bool                 { return false }

// awaitStartup waits, for a bounded time, while the process is starting and doesn't know enough. It
// reports whether it waited.
func (c *call) awaitStartup(enough func(Knowledge) bool) (waited bool) {
	startup := c.proxy.options.Startup
	lacking, changed := startup.lacks(enough)
	if !lacking {
		return false
	}
	timer := time.NewTimer(c.startupDeadline() - c.now())
	defer timer.Stop()
	for lacking {
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-c.request.Context().Done():
			return true
		}
		lacking, changed = startup.lacks(enough)
	}
	return true
}

// startupWaitDivisor: a request waits for the start to end for one part in startupWaitDivisor of
// the time that its client waits, so that time is left to serve it, or for the client to retry.
const startupWaitDivisor = 3

// startupDeadline is until when the request may wait for the start to end.
func (c *call) startupDeadline() core.Time {
	wait := c.proxy.bounds.StartupWait
	if allowed, ok := clientTimeout(c.request.Header); ok {
		wait = min(wait, allowed/startupWaitDivisor)
	}
	return c.intake.received + wait
}

// unreadyRetryAfter returns when a client whose request could not be accepted should retry.
func (p *Proxy) unreadyRetryAfter() time.Duration {
	if lacking, _ := p.options.Startup.lacks(knowsAll); lacking {
		return p.bounds.StartupRetryAfter
	}
	return p.bounds.UnreadyRetryAfter
}
