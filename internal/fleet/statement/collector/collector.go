// Package collector is the work of the duty "close": it reads what the instances' ledgers have exported to their folders and
// publishes the fleet's statements. What is due and what it says is package statement's.
package collector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/statement"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/sink"
)

// Job is one owner's work.
type Job struct {
	Folders []string // patterns
	Rules   statement.Rules
	To      fence.Receiver
	Every   time.Duration
	Log     zerolog.Logger
	Wall    func() int64 // Unix ms

	book *statement.Book
	mark statement.Mark
	bad  map[string]string
}

// Step publishes one statement, or reads what came.
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	if j.book == nil {
		var err error
		if j.mark, err = statement.ReadMark(g.Progress); err != nil {
			return j.Every, fmt.Errorf("how far the fleet's statements have come can't be read: %w", err)
		}
		j.book, j.bad = statement.NewBook(), map[string]string{}
	}
	if err := j.read(); err != nil {
		return j.Every, err
	}
	i := j.book.Due(j.mark, j.Rules, j.Wall())
	if i == nil || !g.MayAct() {
		return j.Every, nil
	}
	if j.mark.Intent == nil {
		next := j.mark
		next.Intent = i
		if err := g.SaveProgress(ctx, next.Text()); err != nil {
			return j.Every, err
		}
		j.mark = next
	}
	s, err := j.book.Statement(i)
	if err != nil {
		return j.Every, err
	}
	body, err := json.Marshal(s)
	if err != nil {
		return j.Every, err
	}
	if _, err := j.To.Apply(g.Effect(i.Key(), body)); err != nil {
		return j.Every, err
	}
	done := j.mark.Done()
	if err := g.SaveProgress(ctx, done.Text()); err != nil {
		return j.Every, err
	}
	j.mark = done
	if n := j.book.Forgotten(j.mark); n > 0 {
		j.book.Drop(j.mark)
	}
	for _, p := range s.Parts {
		if p.Wrong != "" {
			j.Log.Warn().Str("instance", p.Instance).Int64("period", s.Period).Str("why", p.Wrong).Msg("fleet's statement: an instance's entries do not reconcile")
		}
	}
	j.Log.Info().Int64("period", s.Period).Bool("late", s.Late).Int("parts", len(s.Parts)).Strs("missing", s.Missing).Msg("fleet's statement is published")
	return 0, nil
}

// read takes up what has been exported since. A folder that can't be read is told of once, and waited for: nothing is published
// without what was fixed to be in it.
func (j *Job) read() error {
	for _, pattern := range j.Folders {
		dirs, err := filepath.Glob(pattern)
		if err != nil {
			return err
		}
		for _, dir := range dirs {
			text := ""
			if err := j.readFolder(dir); err != nil {
				text = err.Error()
			}
			if was := j.bad[dir]; text != was {
				if j.bad[dir] = text; text != "" {
					j.Log.Warn().Str("folder", dir).Str("why", text).Msg("fleet's statement: an export can't be read")
				}
			}
		}
	}
	return nil
}

func (j *Job) readFolder(dir string) error {
	text, err := os.ReadFile(filepath.Join(dir, "manifest.jsonl"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	for line := range bytes.Lines(text) {
		var b sink.Batch
		if err := json.Unmarshal(line, &b); err != nil {
			return fmt.Errorf("the manifest: %w", err)
		}
		if b.To < j.book.Next(b.Instance, b.Epoch) || len(b.Files) == 0 {
			continue
		}
		rows, err := os.ReadFile(filepath.Join(dir, filepath.Base(b.Files[0])))
		if err != nil {
			return err
		}
		for line := range bytes.Lines(rows) {
			var r sink.Row
			if err := json.Unmarshal(line, &r); err != nil {
				return fmt.Errorf("%s: %w", b.Files[0], err)
			}
			if err := j.book.Take(rowOf(&r)); err != nil {
				return fmt.Errorf("%s: %w", b.Files[0], err)
			}
		}
	}
	return nil
}

func rowOf(r *sink.Row) statement.Row {
	return statement.Row{Instance: r.Instance, Epoch: r.Epoch, Seq: r.Seq, Sort: r.Sort, Period: r.Period, At: r.At, Customer: r.Customer,
		QueryType: r.QueryType, Front: r.Front, Outcome: r.Outcome, Refers: r.Refers, Counts: ledger.Counts{ledger.Searches: r.Searches,
			ledger.Parts: r.Parts, ledger.First: r.First, ledger.Repeat: r.Repeat, ledger.Copy: r.Copy, ledger.CalledOff: r.CalledOff,
			ledger.Work: r.Work, ledger.BytesIn: r.BytesIn, ledger.BytesOut: r.BytesOut, ledger.Server: r.Server}}
}
