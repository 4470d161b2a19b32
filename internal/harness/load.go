package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"kestrelspread/internal/harness/searchclient"
	"kestrelspread/internal/standin/fakeservers"
	"kestrelspread/internal/standin/invariants"
)

// outcome is how a search ended.
type outcome uint8

const (
	answered outcome = iota
	shed
	failed
)

// Tally counts the outcomes of a load on one front. Latencies are those of answered searches. It is safe for concurrent use.
type Tally struct {
	mutex                   sync.Mutex
	Answered, Shed, Errored int
	LatencyUs               *hdrhistogram.Histogram
}

func newTally() *Tally { return &Tally{LatencyUs: hdrhistogram.New(1, 60e6, 3)} }

// Total counts the searches that have ended.
func (t *Tally) Total() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.Answered + t.Shed + t.Errored
}

// add counts a search.
func (t *Tally) add(ended outcome, latency time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch ended {
	case answered:
		t.Answered++
		t.LatencyUs.RecordValue(max(latency.Microseconds(), 1))
	case shed:
		t.Shed++
	default:
		t.Errored++
	}
}

// QuantileMs is a quantile of the latency, in ms.
func (t *Tally) QuantileMs(q float64) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return float64(t.LatencyUs.ValueAtQuantile(q)) / 1000
}

// Load is a stream of searches at one broker. The invariants are checked on all of it.
type Load struct {
	Broker      *Broker
	HTTP        *Tally
	GRPC        *Tally
	cluster     *Cluster
	mutex       sync.Mutex
	invariants  *invariants.Checker
	startedAt   time.Time
	client      *http.Client
	conns       []*grpc.ClientConn
	lastQueryID atomic.Int64
	idPrefix    string
	tasks       sync.WaitGroup
}

// DialGRPC opens count gRPC connections to an address, without retries.
func DialGRPC(address string, count int) (conns []*grpc.ClientConn, err error) {
	for range count {
		c, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
			grpc.WithDefaultCallOptions(grpc.ForceCodec(fakeservers.RawCodec{})))
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
	}
	return conns, nil
}

// NewLoad prepares a load on a broker. The loads of a cluster are told apart by the prefixes of their IDs.
func (c *Cluster) NewLoad(b *Broker) (*Load, error) {
	l := &Load{Broker: b, HTTP: newTally(), GRPC: newTally(), cluster: c, invariants: invariants.New(), startedAt: time.Now(),
		idPrefix: fmt.Sprint("l", b.PID, "-"),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 5 * time.Second}}}
	l.invariants.AnswerSlackMs = 100 // for the scheduling of this process, which the broker can't help
	if b.GRPCAddress != "" {
		var err error
		if l.conns, err = DialGRPC(b.GRPCAddress, 4); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// ObserveServers records what the servers receive with the invariants of the loads.
func (c *Cluster) ObserveServers(loads ...*Load) {
	for _, s := range c.Servers {
		seen := func(id string) func(string) {
			id, part, _ := strings.Cut(id, ".")
			for _, l := range loads {
				if strings.HasPrefix(id, l.idPrefix) {
					l.mutex.Lock()
					l.invariants.RecordAttempt(id, part, s.ID, l.now())
					l.mutex.Unlock()
					return func(string) {}
				}
			}
			return nil
		}
		s.Frames.OnRequest, s.GRPC.OnRequest = seen, seen
	}
}

// now is the time of the load, in ms.
func (l *Load) now() float64 { return float64(time.Since(l.startedAt).Microseconds()) / 1000 }

// recordQuery records a search as it is sent.
func (l *Load) recordQuery(id string, once bool, until float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	effect := invariants.Idempotent
	if once {
		effect = invariants.NonIdempotent
	}
	l.invariants.RecordQuery(id, effect, l.now(), until)
}

// recordAnswer records the end of a search.
func (l *Load) recordAnswer(id string, complete bool, received, expected string, wasShed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if complete {
		l.invariants.RecordServerAnswer(id, []byte(expected))
	}
	l.invariants.RecordFinalAnswer(id, l.now(), complete, []byte(received), wasShed)
}

// Violations lists the violations of invariants so far.
func (l *Load) Violations() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.invariants.Check(l.now())
}

// queryTimeout is the deadline of each search.
const queryTimeout = 1000 * time.Millisecond

// Run sends searches to both fronts, at rates per second, until the context ends, and waits for the last answers.
func (l *Load) Run(ctx context.Context, httpRate, grpcRate float64) {
	l.generate(ctx, httpRate, l.sendHTTP)
	l.generate(ctx, grpcRate, l.sendGRPC)
	l.tasks.Wait()
}

// nonIdempotentEvery is how often a search must not run twice: every fifth time.
const nonIdempotentEvery = 5

// generate starts a Poisson process of searches.
func (l *Load) generate(ctx context.Context, rate float64, send func(id string, once bool)) {
	if rate <= 0 {
		return
	}
	l.tasks.Go(func() {
		for timer := time.NewTimer(0); ; timer.Reset(time.Duration(rand.ExpFloat64() / rate * 1e9)) {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			n := l.lastQueryID.Add(1)
			l.tasks.Go(func() { send(fmt.Sprint(l.idPrefix, n), n%nonIdempotentEvery == 0) })
		}
	})
}

// sendHTTP searches two shards over HTTP.
func (l *Load) sendHTTP(id string, once bool) {
	kind, first := "quick", int(l.lastQueryID.Load())%l.cluster.ShardCount
	if once {
		kind = "once"
	}
	search := &searchclient.Search{ID: id, Type: kind, Shards: searchclient.Adjacent(first, 2, l.cluster.ShardCount)}
	sentAt := time.Now()
	l.recordQuery(id, once, l.now()+queryTimeout.Seconds()*1000)
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout+500*time.Millisecond)
	defer cancel()
	resp, err := l.client.Do(search.Request(ctx, l.Broker.HTTPAddress, int(queryTimeout.Milliseconds()), false))
	if err != nil {
		l.recordAnswer(id, false, "", "", false)
		l.HTTP.add(failed, 0)
		return
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		answer := searchclient.ParseAnswer(text)
		l.recordAnswer(id, answer.Complete, answer.Result(), search.Expected(), false)
		l.HTTP.add(answered, time.Since(sentAt))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		l.recordAnswer(id, false, "", "", true)
		l.HTTP.add(shed, 0)
	default:
		l.recordAnswer(id, false, "", "", false)
		l.HTTP.add(failed, 0)
	}
}

// sendGRPC calls a unary method over gRPC.
func (l *Load) sendGRPC(id string, once bool) {
	n := int(l.lastQueryID.Load())
	service := "/demo.Quick/Get"
	if once {
		service = "/demo.Once/Put"
	}
	sentAt := time.Now()
	l.recordQuery(id, once, l.now()+queryTimeout.Seconds()*1000)
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-shard", strconv.Itoa(n%l.cluster.ShardCount), "x-id", id)
	in, out := []byte(id), []byte(nil)
	var tail metadata.MD
	err := l.conns[n%len(l.conns)].Invoke(ctx, service, &in, &out, grpc.Trailer(&tail))
	switch code := status.Code(err); {
	case code == codes.OK:
		l.recordAnswer(id, true, string(out), id, false)
		l.GRPC.add(answered, time.Since(sentAt))
	case (code == codes.Unavailable || code == codes.ResourceExhausted) && len(tail.Get("grpc-retry-pushback-ms")) > 0 &&
		tail.Get("grpc-retry-pushback-ms")[0][0] != '-':
		l.recordAnswer(id, false, "", "", true)
		l.GRPC.add(shed, 0)
	default:
		l.recordAnswer(id, false, "", "", false)
		l.GRPC.add(failed, 0)
	}
}

// Close ends the load's connections.
func (l *Load) Close() {
	for _, c := range l.conns {
		c.Close()
	}
	l.client.CloseIdleConnections()
}

// EchoLoad calls a unary method repeatedly on some connections, with a number of workers, for a while. The error is that of the last
// failed call, if none was answered.
func EchoLoad(conns []*grpc.ClientConn, workers int, duration time.Duration, body []byte, fields ...string) (*Tally, error) {
	t := newTally()
	var wait sync.WaitGroup
	var lastErr atomic.Pointer[error]
	end := time.Now().Add(duration)
	for w := range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ctx := metadata.AppendToOutgoingContext(context.Background(), fields...)
			var out []byte
			for time.Now().Before(end) {
				sentAt := time.Now()
				short, cancel := context.WithTimeout(ctx, queryTimeout)
				err := conns[w%len(conns)].Invoke(short, "/demo.Quick/Get", &body, &out)
				cancel()
				if err != nil || !bytes.Equal(out, body) {
					lastErr.Store(&err)
					t.add(failed, 0)
					continue
				}
				t.add(answered, time.Since(sentAt))
			}
		}()
	}
	wait.Wait()
	if e := lastErr.Load(); e != nil && t.Answered == 0 {
		return t, *e
	}
	return t, nil
}
