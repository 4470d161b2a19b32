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
	facts = `{"balancers":1,"classes":[{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"quick",
"late-value":0.3},{"aim-ms":300,"deadline-ms":1000,"effect":"once","importance":3,"name":"once"},
{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"part"}],
"family-info":{"places":4,"span":2,"batch":2,"slabs":8,"class-need":[1,1,1],"class-floor":[1,1,0.3],
"incomplete-worth":[0,0,0.9],"follow-up":[0,0,0]},"discovery":"push","localities":["a","b"],
"limits":{"attempts-cap":4,"cancel":true,"parallel-tries":true,"connect-timeout-ms":100,"conn-idle-ms":2000,
"streams-per-conn":2,"most-held":60,"may-probe":true,"retry-after":true,"max-retry-after-ms":500},
"safety":{"answer-slack-ms":20,"drain-grace-ms":250},"report":{"fields":["active","cpu"],"via":"answers"},"zone":0}`
	slack = 20
)

// end is one connection as the other side has it.
type end struct {
	to       netip.AddrPort
	client   *caller
	open     bool
	watched  bool // the head of its list is out
	muted    bool
	finished bool
	sent     []byte // by the aggregator, not yet taken by the network
	got      []byte // taken, not yet read
	upTo     int64
	told     int64
	stuck    float64  // until then the network takes nothing
	began    float64  // when the frame that comes was begun
	waiting  []string // attempts a server holds
}

// caller is a client with its one search.
type caller struct {
	id      string
	late    float64 // when its answer is late
	shards  []int
	asked   bool
	answers int
	status  int
	at      float64 // when the last bytes for it were written
	gone    bool
	back    string // the time to come back
}

// world is the network and all who stand behind it. What happens is drawn from a seed.
type world struct {
	t       testing.TB
	r       *Engine
	pool    *transport.Pool
	rng     *rand.Rand
	now     float64
	ends    []*end
	freed   []transport.Conn
	armed   float64
	stopped bool
	deaf    bool // listens no more
	paused  bool
	callers []*caller
	byID    map[string]*caller
	version int
	list    []listed
	dying   []transport.Conn
	lines   []string // of calls, as servers read them
	least   int      // descriptors that are left for connecting; below 0 none fails
}

type listed struct {
	state string
	since float64
	cell  int
}

func newWorld(t testing.TB, seed uint64, servers int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1e6, pool: &transport.Pool{Size: 80 << 10, Max: 200},
		byID: map[string]*caller{}, least: -1}
	for i := range servers {
		w.list = append(w.list, listed{state: "ready", cell: i % 4})
	}
	set, err := settings.FromJSON([]byte(facts))
	if err != nil {
		t.Fatal(err)
	}
	w.r = New(w, w.pool, zerolog.New(io.Discard), set, seed, 200, w.listLine(true), netip.MustParseAddrPort("127.0.0.1:9"), 0)
	return w
}

// newWorldOf is a world with other settings: pairs of what stands in the usual ones and what is to stand there.
func newWorldOf(t testing.TB, servers int, instead ...string) *world {
	w := newWorld(t, 1, servers)
	text := facts
	for i := 0; i < len(instead); i += 2 {
		if !strings.Contains(text, instead[i]) {
			t.Fatalf("the settings have no %s", instead[i])
		}
		text = strings.Replace(text, instead[i], instead[i+1], 1)
	}
	set, err := settings.FromJSON([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	w.r = New(w, w.pool, zerolog.New(io.Discard), set, 1, 200, w.listLine(true), netip.MustParseAddrPort("127.0.0.1:9"), 0)
	return w
}
