package llmbroker

import (
	"slices"
	"sync"
	"time"
)

// Disposition is what a broker did with an arrival.
type Disposition uint8

// The dispositions.
const (
	Queued   Disposition = iota // waiting for a slot
	Rejected                    // answered as not executed
	Running                     // started
	Finished                    // completed
	Aborted                     // started, but the client left, the deadline passed, or the broker ended
)

// Arrival is one request as a broker received it.
type Arrival struct {
	Number      int // index in the log
	Request     string
	Service     string
	Instance    string
	Method      string
	URI         string
	Tenant      string
	Model       string
	Salt        string
	FetchFrom   string
	SaveTo      string
	LastEventID int
	ReceivedAt  time.Time
	StartedAt   time.Time // zero: not started
	EndedAt     time.Time // when its run ended; zero: it did not
	Version     uint64    // of the weights at its start; 0 at plain brokers
	Disposition Disposition
	Status      int // of the answer; 0: none
}

// Ran reports whether the request has started to run. Source: RULES.md, "Words".
func (a *Arrival) Ran() bool { return !a.StartedAt.IsZero() }

// OrderArrival is an order as a broker received it.
type OrderArrival struct {
	Instance   string
	Order      Order
	ReceivedAt time.Time
	Status     int // of the answer
}

// maxEntries bounds each list of an ArrivalLog.
const maxEntries = 500_000

// ArrivalLog records what arrives at the brokers that share it. It is safe for concurrent use.
type ArrivalLog struct {
	mutex         sync.Mutex
	arrivals      []Arrival
	orders        []OrderArrival
	byRequest     map[string][]int
	overflowCount int
}

// NewArrivalLog returns an empty log.
func NewArrivalLog() *ArrivalLog { return &ArrivalLog{byRequest: map[string][]int{}} }

// add adds an arrival and returns its number; -1: the log is full.
func (l *ArrivalLog) add(arrival Arrival) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.arrivals) >= maxEntries {
		l.overflowCount++
		return -1
	}
	arrival.Number = len(l.arrivals)
	l.arrivals = append(l.arrivals, arrival)
	l.byRequest[arrival.Request] = append(l.byRequest[arrival.Request], arrival.Number)
	return arrival.Number
}

// update alters a recorded arrival.
func (l *ArrivalLog) update(number int, alter func(*Arrival)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if number >= 0 {
		alter(&l.arrivals[number])
	}
}

// addOrder adds an order.
func (l *ArrivalLog) addOrder(order OrderArrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.orders) >= maxEntries {
		l.overflowCount++
		return
	}
	l.orders = append(l.orders, order)
}

// OfRequest returns the arrivals of one request, in order.
func (l *ArrivalLog) OfRequest(request string) []Arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var arrivals []Arrival
	for _, number := range l.byRequest[request] {
		arrivals = append(arrivals, l.arrivals[number])
	}
	return arrivals
}

// Arrivals returns a copy of all arrivals, in order.
func (l *ArrivalLog) Arrivals() []Arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.arrivals)
}

// Orders returns a copy of all orders, in order.
func (l *ArrivalLog) Orders() []OrderArrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.orders)
}

// OverflowCount is the number of entries that were dropped from a full log: checks with this log are incomplete if there are any.
func (l *ArrivalLog) OverflowCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.overflowCount
}
