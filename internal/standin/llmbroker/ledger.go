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
	Queued     Disposition = iota // waits for a slot
	TurnedAway                    // told that it was not run
	Running                       // has begun
	Finished                      // has run to its end
	Aborted                       // has run, and was cut off: the caller left, or the broker ended
)

// Arrival is one request as a broker saw it.
type Arrival struct {
	Number      int // in the order of the ledger
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
	At          time.Time
	BegunAt     time.Time // zero: not begun
	Version     uint64    // of the weights it began on; 0 at plain brokers
	Disposition Disposition
	Status      int // of the answer; 0: none
}

// Ran reports whether the request has begun to run (RULES.md, "Words").
func (a *Arrival) Ran() bool { return !a.BegunAt.IsZero() }

// OrderArrival is an order as a broker saw it.
type OrderArrival struct {
	Instance string
	Order    Order
	At       time.Time
	Status   int // of the answer
}

// mostEntries bounds each list of a Ledger.
const mostEntries = 500_000

// Ledger notes what arrives at brokers that share it.
type Ledger struct {
	mutex    sync.Mutex
	arrivals []Arrival
	orders   []OrderArrival
	byID     map[string][]int
	lost     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byID: map[string][]int{}} }

// arrived adds an arrival and gives its number.
func (l *Ledger) arrived(arrival Arrival) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.arrivals) >= mostEntries {
		l.lost++
		return -1
	}
	arrival.Number = len(l.arrivals)
	l.arrivals = append(l.arrivals, arrival)
	l.byID[arrival.Request] = append(l.byID[arrival.Request], arrival.Number)
	return arrival.Number
}

// change alters an arrival that was noted.
func (l *Ledger) change(number int, alter func(*Arrival)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if number >= 0 {
		alter(&l.arrivals[number])
	}
}

func (l *Ledger) ordered(order OrderArrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.orders) >= mostEntries {
		l.lost++
		return
	}
	l.orders = append(l.orders, order)
}

// Of gives the arrivals of one request, in order.
func (l *Ledger) Of(request string) []Arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []Arrival
	for _, number := range l.byID[request] {
		list = append(list, l.arrivals[number])
	}
	return list
}

// Arrivals gives a copy of all arrivals, in order.
func (l *Ledger) Arrivals() []Arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.arrivals)
}

// Orders gives a copy of all orders, in order.
func (l *Ledger) Orders() []OrderArrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.orders)
}

// Overflowed is how many entries had no room: what is checked with this ledger is then incomplete.
func (l *Ledger) Overflowed() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lost
}
