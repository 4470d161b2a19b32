package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a broker.
type arrival struct {
	id         string
	broker     string
	at         time.Time
	ranAt      time.Time // zero: it did not run
	endedAt    time.Time
	clientGone time.Time // the caller closed the connection; zero: it did not
	status     int
}

// arrivals is what the brokers of a case have seen.
type arrivals struct {
	mutex sync.Mutex
	list  []*arrival
}

func (a *arrivals) add(one *arrival) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.list = append(a.list, one)
}

// snapshot copies the arrivals.
func (a *arrivals) snapshot() []arrival {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	list := make([]arrival, 0, len(a.list))
	for _, one := range a.list {
		list = append(list, *one)
	}
	return list
}

// broker is one incarnation of a broker of a plain service (PROTOCOL.md, "Brokers" and "Service discovery").
type broker struct {
	record   *record
	arrivals *arrivals
	id       string
	service  string
	zone     string
	address  string
	work     time.Duration
	controls func() []string

	server   *http.Server
	listener net.Listener
	slots    chan struct{}
	queued   atomic.Int64
	stopped  chan struct{}
	client   *http.Client

	mutex        sync.Mutex
	sequence     uint64
	preferred    string
	deregistered bool
	runs         uint64
}

const (
	slotCount   = 6
	queueLength = 24
)

// startBroker starts a broker at an address of the fleet.
func startBroker(f *fleet, seen *arrivals, service string, number int, work time.Duration) (*broker, error) {
	listener, err := net.Listen("tcp", f.host(100+number)+":0")
	if err != nil {
		return nil, err
	}
	b := &broker{
		record: f.record, arrivals: seen, id: fmt.Sprintf("i-%s-%d-%08x", service, number, rand.Uint32()), service: service,
		zone: f.zones[number%len(f.zones)], address: listener.Addr().String(), work: work, controls: f.controls,
		listener: listener, slots: make(chan struct{}, slotCount), stopped: make(chan struct{}),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	go b.heartbeats()
	f.record.add("broker %s of %s at %s", b.id, service, b.address)
	return b, nil
}

// heartbeats sends a heartbeat each 1.2 s until the broker ends or has deregistered.
func (b *broker) heartbeats() {
	for {
		b.mutex.Lock()
		if !b.deregistered {
			b.sequence++
			body, _ := json.Marshal(map[string]any{
				"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": slotCount, "state": "ready",
				"coldRemainingMs": 0, "sequence": b.sequence,
			})
			b.call("heartbeat", body)
		}
		b.mutex.Unlock()
		select {
		case <-b.stopped:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// call calls one machine after another until one acknowledges, and reports whether one has.
func (b *broker) call(verb string, body []byte) bool {
	addresses := b.controls()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if b.preferred != "" {
		addresses = append([]string{b.preferred}, addresses...)
	}
	for _, address := range addresses {
		answer, err := b.client.Post("http://"+address+"/kestrelspread/instances/"+b.id+"/"+verb, "application/json", bytes.NewReader(body))
		if err != nil {
			b.preferred = ""
			continue
		}
		text, err := io.ReadAll(io.LimitReader(answer.Body, 4<<10))
		_ = answer.Body.Close()
		if err != nil || answer.StatusCode/100 != 2 {
			b.preferred = ""
			continue
		}
		var reply struct {
			HeartbeatURL string `json:"heartbeatUrl"`
		}
		if json.Unmarshal(text, &reply) == nil && reply.HeartbeatURL != "" {
			b.preferred = reply.HeartbeatURL
		}
		return true
	}
	return false
}

// deregister announces the end, without having said draining, and returns the time of the acknowledgement.
func (b *broker) deregister() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deregistered = true
	for !b.call("deregister", []byte("{}")) {
		time.Sleep(100 * time.Millisecond)
	}
	at := time.Now()
	b.record.add("%s: deregister acknowledged", b.id)
	return at
}

// end ends the broker's process: its address resets from now on, and what runs is lost.
func (b *broker) end() {
	select {
	case <-b.stopped:
		return
	default:
	}
	close(b.stopped)
	_ = b.server.Close()
	b.record.add("%s has ended", b.id)
}

// ServeHTTP implements http.Handler.
func (b *broker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Kestrelspread-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Kestrelspread-Request-Id")
	seen := &arrival{id: id, broker: b.id, at: time.Now()}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Kestrelspread-Request-Id", id)
	if expected := r.Header.Get("X-Kestrelspread-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Kestrelspread-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		b.record.add("%s answers 421 to %s", b.id, id)
		return
	}
	b.arrivals.add(seen)
	b.record.add("request %s reaches %s", id, b.id)
	if b.queued.Add(1) > slotCount+queueLength {
		b.queued.Add(-1)
		w.Header().Set("X-Kestrelspread-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.queued.Add(-1)
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.run(w, r.Context(), seen, body)
}

// run works on a request. It is dropped once its connection closes.
func (b *broker) run(w http.ResponseWriter, ctx context.Context, seen *arrival, body []byte) {
	b.set(func() { seen.ranAt = time.Now() })
	timer := time.NewTimer(b.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		b.set(func() { seen.clientGone, seen.endedAt = time.Now(), time.Now() })
		b.record.add("%s: the connection of %s closes while it runs", b.id, seen.id)
		return
	}
	b.mutex.Lock()
	b.runs++
	number := b.runs
	b.mutex.Unlock()
	hash := fnv.New32a()
	_, _ = hash.Write(body)
	text := fmt.Appendf(nil, "%s ran %s as %d: %08x\n", b.id, seen.id, number, hash.Sum32())
	w.Header().Set("X-Kestrelspread-Response-Seal", fmt.Sprintf("%s.%d", b.id, number))
	w.Header().Set("X-Kestrelspread-Server-Load", fmt.Sprintf("%d,%d,%d", len(b.slots), max(int(b.queued.Load())-len(b.slots), 0), slotCount))
	_, _ = w.Write(text)
	b.set(func() { seen.status, seen.endedAt = http.StatusOK, time.Now() })
	b.record.add("%s has run %s", b.id, seen.id)
}

func (b *broker) set(change func()) {
	b.arrivals.mutex.Lock()
	defer b.arrivals.mutex.Unlock()
	change()
}
