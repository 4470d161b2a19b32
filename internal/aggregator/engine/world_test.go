package engine

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/transport"
)

const (
	settingsJSON = `{"balancers":1,"classes":[{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"quick",
"late-value":0.3},{"aim-ms":300,"deadline-ms":1000,"effect":"once","importance":3,"name":"once"},
{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"part"}],
"family-info":{"places":4,"span":2,"batch":2,"slabs":8,"class-need":[1,1,1],"class-floor":[1,1,0.3],
"incomplete-worth":[0,0,0.9],"follow-up":[0,0,0]},"discovery":"push","localities":["a","b"],
"limits":{"attempts-cap":4,"cancel":true,"parallel-tries":true,"connect-timeout-ms":100,"conn-idle-ms":2000,
"streams-per-conn":2,"most-held":60,"may-probe":true,"retry-after":true,"max-retry-after-ms":500},
"safety":{"answer-slack-ms":20,"drain-grace-ms":250},"report":{"fields":["active","cpu"],"via":"answers"},"zone":0}`
	answerSlackMs = 20
)

// modelConn is one connection as the aggregator's peer sees it.
type modelConn struct {
	destination   netip.AddrPort // zero for a connection that a client opened
	client        *modelClient   // nil for a connection that the engine opened
	open          bool           // established
	watched       bool           // for a watch: the response headers have been sent
	readingPaused bool           // the engine has paused reading
	finished      bool           // the engine has called Finish
	unsent        []byte         // written by the aggregator, not yet accepted by the network
	received      []byte         // accepted by the network, not yet read by the peer
	takenBytes    int64          // accepted by the network in total
	acknowledged  int64          // of takenBytes, reported to the engine by Written
	stalledUntil  float64        // until then the network accepts nothing
	frameBeganAt  float64        // when the first byte of the frame at the head of received was accepted
	pending       []string       // ids of attempts, and frame types of health checks, that a server has not answered
}

// modelClient is a client with a single search.
type modelClient struct {
	id             string
	answerDeadline float64 // a later answer is too late
	shards         []int
	searchSent     bool // its search has been sent
	answers        int
	status         int     // HTTP status of the last answer
	lastWriteAt    float64 // when the aggregator last wrote to it
	disconnected   bool
	retryAfter     string // the Retry-After header of the last answer
}

// world simulates the network of an engine, with clients, servers and discovery.
// Random events are drawn from a seed.
type world struct {
	t               testing.TB
	engine          *Engine
	pool            *transport.Pool
	rng             *rand.Rand
	now             float64 // ms of the loop's clock
	conns           []*modelConn
	freed           []transport.Conn // connection numbers that can be reused
	timerAt         float64          // set by SetTimer
	stopped         bool             // set by Stop
	listenersClosed bool
	paused          bool                    // accepting is suspended
	clients         []*modelClient          // those with a search
	byID            map[string]*modelClient // by the id of their search
	version         int                     // of the last server list
	servers         []modelServer
	failedConnects  []transport.Conn // connections that fail in the next turn
	requestLines    []string         // the first line of each shard request, as read by servers
	connectsLeft    int              // 0: each new connection fails; negative: none does
}

// modelServer is a server as discovery reports it. changedAt is when the aggregator learned that
// the server is no longer ready.
type modelServer struct {
	state     string
	changedAt float64
	position  int
}

// newWorld returns a world with settingsJSON, 200 descriptors and a number of ready servers.
func newWorld(t testing.TB, seed uint64, servers int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1e6, pool: &transport.Pool{Size: 80 << 10, Max: 200},
		byID: map[string]*modelClient{}, connectsLeft: -1}
	for i := range servers {
		w.servers = append(w.servers, modelServer{state: "ready", position: i % 4})
	}
	set, err := settings.FromJSON([]byte(settingsJSON))
	if err != nil {
		t.Fatal(err)
	}
	w.engine = New(w, w.pool, zerolog.New(io.Discard), set, seed, 200, w.listLine(true), netip.MustParseAddrPort("127.0.0.1:9"), 0)
	return w
}

// newWorldOf returns a world with changed settings. replacements holds pairs of a text of
// settingsJSON and its replacement.
func newWorldOf(t testing.TB, servers int, replacements ...string) *world {
	w := newWorld(t, 1, servers)
	text := settingsJSON
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("the settings have no %s", replacements[i])
		}
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	set, err := settings.FromJSON([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	w.engine = New(w, w.pool, zerolog.New(io.Discard), set, 1, 200, w.listLine(true), netip.MustParseAddrPort("127.0.0.1:9"), 0)
	return w
}
