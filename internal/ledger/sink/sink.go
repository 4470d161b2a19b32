// Package sink takes the ledger's batches to a folder, as Parquet and as JSON lines, exactly once: each file under a temporary
// name, synced, renamed; the manifest last, in the same way. A batch is there when the manifest names it.
package sink

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
	"kestrelspread/internal/ledger/store"
)

// Row is one entry in a batch's files.
type Row struct {
	Instance  string `parquet:"instance,dict" json:"instance"`
	Epoch     uint64 `parquet:"epoch" json:"epoch"`
	Seq       uint64 `parquet:"seq" json:"seq"`
	Sort      string `parquet:"sort,dict" json:"sort"`
	Period    int64  `parquet:"period_ms" json:"period_ms"`
	At        int64  `parquet:"at_ms" json:"at_ms"`
	Customer  string `parquet:"customer,dict" json:"customer"`
	QueryType string `parquet:"query_type,dict" json:"query_type"`
	Front     string `parquet:"front,dict" json:"front"`
	Outcome   string `parquet:"outcome,dict" json:"outcome"`
	Searches  int64  `parquet:"searches" json:"searches"`
	Parts     int64  `parquet:"parts" json:"parts"`
	First     int64  `parquet:"first" json:"first"`
	Repeat    int64  `parquet:"repeat" json:"repeat"`
	Copy      int64  `parquet:"copy" json:"copy"`
	CalledOff int64  `parquet:"called_off" json:"called_off"`
	Work      int64  `parquet:"work_us" json:"work_us"`
	BytesIn   int64  `parquet:"bytes_in" json:"bytes_in"`
	BytesOut  int64  `parquet:"bytes_out" json:"bytes_out"`
	Server    int64  `parquet:"server_us" json:"server_us"`
	ID        string `parquet:"correction" json:"correction,omitempty"`
	Author    string `parquet:"author" json:"author,omitempty"`
	Reason    string `parquet:"reason" json:"reason,omitempty"`
	Reference string `parquet:"reference" json:"reference,omitempty"`
	Refers    int64  `parquet:"refers_ms" json:"refers_ms,omitempty"`
}

func rowOf(e *ledger.Entry) Row {
	c := &e.Counts
	return Row{Instance: e.Instance, Epoch: e.Epoch, Seq: e.Seq, Sort: e.Sort.String(), Period: e.Period, At: e.At, Customer: e.Key.Customer,
		QueryType: e.Key.Kind, Front: e.Key.Front.String(), Outcome: e.Key.Outcome.String(), Searches: c[ledger.Searches], Parts: c[ledger.Parts],
		First: c[ledger.First], Repeat: c[ledger.Repeat], Copy: c[ledger.Copy], CalledOff: c[ledger.CalledOff], Work: c[ledger.Work],
		BytesIn: c[ledger.BytesIn], BytesOut: c[ledger.BytesOut], Server: c[ledger.Server], ID: e.ID, Author: e.Author, Reason: e.Reason,
		Reference: e.Reference, Refers: e.Refers}
}

// Batch is one line of the manifest.
type Batch struct {
	Instance string `json:"Instance"`
	Epoch    uint64 `json:"Epoch"`
	export.Intent
	Files []string `json:"Files"`
}

// Folder is the sink.
type Folder struct {
	Dir string
	has map[string]Batch // by instance, epoch and number
}

const manifest = "manifest.jsonl"

func name(instance string, epoch, batch uint64) string {
	return fmt.Sprintf("%s-%x-%08d", instance, epoch, batch)
}

// OpenFolder reads a folder's manifest, or makes the folder.
func OpenFolder(dir string) (*Folder, error) {
	f := &Folder{Dir: dir, has: map[string]Batch{}}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(dir, manifest))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	for line := range bytes.Lines(text) {
		var b Batch
		if err := json.Unmarshal(line, &b); err != nil {
			return nil, fmt.Errorf("%s: %w", manifest, err)
		}
		f.has[name(b.Instance, b.Epoch, b.Batch)] = b
	}
	return f, nil
}

// durably writes a file so that it is there whole or not at all.
func durably(path string, content []byte) error {
	t, err := os.Create(path + ".tmp")
	if err != nil {
		return err
	}
	_, err = t.Write(content)
	if err == nil {
		err = t.Sync()
	}
	if cerr := t.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+".tmp", path)
	}
	if err != nil {
		os.Remove(path + ".tmp")
		return err
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Put takes a batch, or finds that it is there, and gives the hash of what is. Nothing is there before the manifest names it:
// files that a crash left behind are written again.
func (f *Folder) Put(instance string, epoch uint64, i export.Intent, entries []*ledger.Entry) (batch, hash uint64, bytesOut int, err error) {
	at := name(instance, epoch, i.Batch)
	if b, found := f.has[at]; found {
		return b.Batch, b.Hash, 0, nil
	}
	rows := make([]Row, len(entries))
	var lines, columns bytes.Buffer
	to := json.NewEncoder(&lines)
	for n, e := range entries {
		rows[n] = rowOf(e)
		if err := to.Encode(rows[n]); err != nil {
			return 0, 0, 0, err
		}
	}
	if err := parquet.Write(&columns, rows); err != nil {
		return 0, 0, 0, err
	}
	b := Batch{instance, epoch, i, []string{at + ".jsonl", at + ".parquet"}}
	if err := errors.Join(durably(filepath.Join(f.Dir, b.Files[0]), lines.Bytes()), durably(filepath.Join(f.Dir, b.Files[1]), columns.Bytes())); err != nil {
		return 0, 0, 0, err
	}
	was, err := os.ReadFile(filepath.Join(f.Dir, manifest))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, 0, 0, err
	}
	line, _ := json.Marshal(b)
	if err := durably(filepath.Join(f.Dir, manifest), append(append(was, line...), '\n')); err != nil {
		return 0, 0, 0, err
	}
	f.has[at] = b
	return i.Batch, i.Hash, lines.Len() + columns.Len() + len(was), nil
}

// Exporter takes a store's entries to a folder, in steps of background work.
type Exporter struct {
	Failed func(error) // told once each time it begins to fail
	s      *store.Store
	to     Sink
	name   string
	m      *export.Machine
	most   int
	every  float64
	bad    bool
}

// Sink takes a batch, once however often it is offered, and tells which batch it holds and its hash.
type Sink interface {
	Put(instance string, epoch uint64, i export.Intent, entries []*ledger.Entry) (batch, hash uint64, n int, err error)
}

// NewExporter goes on where the store says for the sink of a name.
func NewExporter(s *store.Store, name string, to Sink, most int, every float64) (*Exporter, error) {
	x, err := s.Export(name)
	if err != nil {
		return nil, err
	}
	return &Exporter{s: s, name: name, to: to, m: export.New(x.Cursor, x.Intent), most: most, every: every}, nil
}

// entries reads a range, and its hash.
func (x *Exporter) entries(from, to uint64) (list []*ledger.Entry, hash uint64, err error) {
	h := xxhash.New()
	done := errors.New("done")
	err = x.s.Each(from, func(e *ledger.Entry) error {
		if e.Seq > to {
			return done
		}
		list = append(list, e)
		h.Write(store.Encode(e))
		return nil
	})
	if errors.Is(err, done) {
		err = nil
	}
	if err == nil && uint64(len(list)) != to-from+1 {
		err = fmt.Errorf("%d entries from %d to %d", len(list), from, to)
	}
	return list, h.Sum64(), err
}

// Step does one step of the protocol (run.Step).
func (x *Exporter) Step() (cost, again float64) {
	n, idle, err := x.step()
	if err != nil && !x.bad && x.Failed != nil {
		x.Failed(err)
	}
	if x.bad = err != nil; idle || x.bad {
		return float64(n), x.every
	}
	return float64(n), 0
}

func (x *Exporter) step() (n int, idle bool, err error) {
	s := x.m.Next(x.s.Last(), x.most, func(from, to uint64) uint64 {
		_, hash, e := x.entries(from, to)
		err = errors.Join(err, e)
		return hash
	})
	if err != nil {
		x.m = export.New(x.m.Cursor(), nil) // what was to be fixed could not be read: nothing of it is durable
		return 0, true, err
	}
	switch s.Kind {
	case export.SaveIntent:
		if err := x.s.SaveExport(x.name, store.Export{Cursor: x.m.Cursor(), Intent: &s.Intent}); err != nil {
			return 0, true, err
		}
		x.m.Saved(s)
	case export.Put:
		list, hash, err := x.entries(s.Intent.From, s.Intent.To)
		if err == nil && hash != s.Intent.Hash {
			err = errors.New("the entries are not those that were fixed")
		}
		if err != nil {
			return 0, true, err
		}
		batch, held, n, err := x.to.Put(x.s.Instance, x.s.Epoch, s.Intent, list)
		if err != nil {
			return n, true, err
		}
		if err := x.m.Answer(batch, held); err != nil {
			return n, true, err
		}
		if batch != s.Intent.Batch {
			return n, true, fmt.Errorf("the receiver speaks of batch %d, asked about %d", batch, s.Intent.Batch)
		}
		return n, false, nil
	case export.SaveCursor:
		if err := x.s.SaveExport(x.name, store.Export{Cursor: s.Cursor}); err != nil {
			return 0, true, err
		}
		x.m.Saved(s)
	default:
		return 0, true, nil
	}
	return 0, false, nil
}
