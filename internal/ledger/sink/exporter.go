// Package sink takes the ledger's batches to a directory, as Parquet and as JSON lines, or to an HTTP receiver, each entry
// exactly once by the protocol of package export. In a directory each file is written under a temporary name, synced and
// renamed; the manifest last, in the same way. A batch is there when the manifest names it.
package sink

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
	"kestrelspread/internal/ledger/store"
)

// Sink takes a batch, once however often it is offered, and answers which batch it holds and its hash. written counts the
// bytes that it took.
type Sink interface {
	Put(instance string, epoch uint64, intent export.Intent, entries []*ledger.Entry) (batch, hash uint64, written int, err error)
}

// Exporter takes a store's entries to a sink, in steps of background work.
type Exporter struct {
	OnFailure  func(error) // called once each time it begins to fail
	store      *store.Store
	sink       Sink
	name       string // of the sink's state in the store
	machine    *export.Machine
	maxEntries int // of a batch
	intervalMs float64
	failing    bool
}

// NewExporter continues where the store says for the sink of a name. A batch has at most maxEntries; what can't go on is tried
// again after intervalMs.
func NewExporter(s *store.Store, name string, to Sink, maxEntries int, intervalMs float64) (*Exporter, error) {
	state, err := s.LoadExport(name)
	if err != nil {
		return nil, err
	}
	return &Exporter{
		store:      s,
		sink:       to,
		name:       name,
		machine:    export.New(state.Cursor, state.Intent),
		maxEntries: maxEntries,
		intervalMs: intervalMs,
	}, nil
}

var errRangeRead = errors.New("the range was read")

// readRange reads the entries of a range, and their hash.
func (x *Exporter) readRange(from, to uint64) (entries []*ledger.Entry, hash uint64, err error) {
	digest := xxhash.New()
	err = x.store.EachEntry(from, func(e *ledger.Entry) error {
		if e.Sequence > to {
			return errRangeRead
		}
		entries = append(entries, e)
		digest.Write(store.Encode(e))
		return nil
	})
	if errors.Is(err, errRangeRead) {
		err = nil
	}
	if err == nil && uint64(len(entries)) != to-from+1 {
		err = fmt.Errorf("%d entries from %d to %d", len(entries), from, to)
	}
	return entries, digest.Sum64(), err
}

// Step does one step of the protocol, as a runner.Step: it returns the bytes written, and after how many ms it is to be called again.
func (x *Exporter) Step() (written, againMs float64) {
	n, idle, err := x.step()
	if err != nil && !x.failing && x.OnFailure != nil {
		x.OnFailure(err)
	}
	x.failing = err != nil
	if idle || x.failing {
		return float64(n), x.intervalMs
	}
	return float64(n), 0
}

func (x *Exporter) step() (written int, idle bool, err error) {
	step, err := x.next()
	if err != nil {
		return 0, true, err
	}
	switch step.Kind {
	case export.SaveIntent:
		return 0, false, x.save(step, store.ExportState{Cursor: x.machine.Cursor(), Intent: &step.Intent})
	case export.Put:
		written, err = x.put(&step.Intent)
		return written, false, err
	case export.SaveCursor:
		return 0, false, x.save(step, store.ExportState{Cursor: step.Cursor})
	}
	return 0, true, nil
}

// next returns the protocol's next step. Where the entries of a new intent can't be read nothing of it is durable, and the
// machine starts again without it.
func (x *Exporter) next() (export.Step, error) {
	var readErr error
	step := x.machine.Next(x.store.LastSequence(), x.maxEntries, func(from, to uint64) uint64 {
		_, hash, err := x.readRange(from, to)
		readErr = err
		return hash
	})
	if readErr != nil {
		x.machine = export.New(x.machine.Cursor(), nil)
	}
	return step, readErr
}

// save makes the sink's state durable, and only then counts the step.
func (x *Exporter) save(step export.Step, state store.ExportState) error {
	if err := x.store.SaveExport(x.name, state); err != nil {
		return err
	}
	x.machine.HandleSaved(step)
	return nil
}

// put offers a batch to the sink, and takes its answer.
func (x *Exporter) put(intent *export.Intent) (written int, err error) {
	entries, hash, err := x.readRange(intent.From, intent.To)
	if err == nil && hash != intent.Hash {
		err = errors.New("the entries are not those that were fixed")
	}
	if err != nil {
		return 0, err
	}
	heldBatch, heldHash, written, err := x.sink.Put(x.store.Instance, x.store.Epoch, *intent, entries)
	if err != nil {
		return written, err
	}
	if err := x.machine.HandleAnswer(heldBatch, heldHash); err != nil {
		return written, err
	}
	if heldBatch != intent.Batch {
		return written, fmt.Errorf("the receiver speaks of batch %d, asked about %d", heldBatch, intent.Batch)
	}
	return written, nil
}
