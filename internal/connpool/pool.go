package connpool

// Reason says why a stream request was rejected.
type Reason uint8

// The reasons.
const (
	Unreachable  Reason = iota // the server can't be connected to, or couldn't lately
	QueueFull                  // all its streams are taken, and MaxWaiting requests wait
	NotAccepting               // it drains, is gone, or has no address
	NoDescriptor               // this process has no file descriptor left
)

// StreamRequest identifies a request for a stream; its value is the caller's.
type StreamRequest any

// Effects carries out what the pool decides. They may come within any call of the pool, which must not
// be called from them.
type Effects interface {
	// Dial begins a connection to a server. It returns false if no file descriptor is left.
	Dial(server, connection int) bool
	// StartStream grants a request a stream on a connection.
	StartStream(connection int, request StreamRequest)
	// Reject ends a request without a stream.
	Reject(request StreamRequest, reason Reason)
	// Close closes a connection. StreamDone isn't called for streams that were on it.
	Close(connection int)
	// Ping sends a keepalive ping.
	Ping(connection int)
}

type connState uint8

const (
	connecting connState = iota // until the peer's SETTINGS have come
	ready
	draining // accepts no new streams; closed when its last stream is done
)

type connection struct {
	id             int
	serverIndex    int
	state          connState
	streams        int
	peerMaxStreams int
	deadline       float64 // of the connect; for a ready one without streams, of its idle time
	lastReceivedAt float64
	pingSentAt     float64 // of a ping that nothing has followed; 0: none
}

type server struct {
	connections     []*connection
	waiting         []StreamRequest
	notAccepting    bool
	connectFailures int // in a row
	nextConnectAt   float64
}

// Pool holds the connections to all servers.
type Pool struct {
	Counters    Counters
	effects     Effects
	settings    Settings
	random      func() float64 // at least 0, below 1
	servers     []*server      // by index; nil: not known
	connections []*connection  // by identifier; nil: not in use
	freeIDs     []int
}

// New returns a pool without connections. random is drawn from for the jitter of backoffs.
func New(effects Effects, settings Settings, random func() float64) *Pool {
	return &Pool{effects: effects, settings: settings, random: random}
}

// UpdateSettings replaces the settings, also for connections that are open.
func (p *Pool) UpdateSettings(settings Settings) { p.settings = settings }

// serverAt returns a server. One that UpdateServer has not reported accepts nothing.
func (p *Pool) serverAt(index int) *server {
	for index >= len(p.servers) {
		p.servers = append(p.servers, nil)
	}
	if p.servers[index] == nil {
		p.servers[index] = &server{notAccepting: true}
	}
	return p.servers[index]
}

// maxStreams is how many streams a connection may have.
func (p *Pool) maxStreams(c *connection) int { return min(p.settings.MaxStreams, c.peerMaxStreams) }

// leastLoaded returns the ready connection with the fewest streams that has capacity, or nil.
func (p *Pool) leastLoaded(s *server) *connection {
	var best *connection
	for _, c := range s.connections {
		if c.state == ready && c.streams < p.maxStreams(c) && (best == nil || c.streams < best.streams) {
			best = c
		}
	}
	return best
}

// countByState returns how many connections of a server are ready and how many are connecting.
func (s *server) countByState() (readyCount, connectingCount int) {
	for _, c := range s.connections {
		switch c.state {
		case ready:
			readyCount++
		case connecting:
			connectingCount++
		}
	}
	return readyCount, connectingCount
}

// Connections returns how many connections there are, those that are connecting included.
func (p *Pool) Connections() int {
	n := 0
	for _, c := range p.connections {
		if c != nil {
			n++
		}
	}
	return n
}

// Streams returns how many streams are open on all connections.
func (p *Pool) Streams() int {
	n := 0
	for _, c := range p.connections {
		if c != nil {
			n += c.streams
		}
	}
	return n
}

// Waiting returns how many stream requests wait.
func (p *Pool) Waiting() int {
	n := 0
	for _, s := range p.servers {
		if s != nil {
			n += len(s.waiting)
		}
	}
	return n
}
