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
	Directories []string // patterns
	Config      statement.Config
	Receiver    fence.Receiver
	Interval    time.Duration
	Log         zerolog.Logger
	WallClockMs func() int64 // Unix ms

	collection *statement.Collection
	progress   statement.Progress
	readErrors map[string]string
}

// Step publishes one statement, or reads what came.
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	if j.collection == nil {
		var err error
		if j.progress, err = statement.ParseProgress(g.Progress); err != nil {
			return j.Interval, fmt.Errorf("how far the fleet's statements have come can't be read: %w", err)
		}
		j.collection, j.readErrors = statement.NewCollection(), map[string]string{}
	}
	if err := j.readExports(); err != nil {
		return j.Interval, err
	}
	i := j.collection.NextIntent(j.progress, j.Config, j.WallClockMs())
	if i == nil || !g.MayAct() {
		return j.Interval, nil
	}
	if j.progress.Intent == nil {
		next := j.progress
		next.Intent = i
		if err := g.SaveProgress(ctx, next.Marshal()); err != nil {
			return j.Interval, err
		}
		j.progress = next
	}
	s, err := j.collection.Build(i)
	if err != nil {
		return j.Interval, err
	}
	body, err := json.Marshal(s)
	if err != nil {
		return j.Interval, err
	}
	if _, err := j.Receiver.Apply(g.Effect(i.EffectKey(), body)); err != nil {
		return j.Interval, err
	}
	done := j.progress.IntentPublished()
	if err := g.SaveProgress(ctx, done.Marshal()); err != nil {
		return j.Interval, err
	}
	j.progress = done
	if n := j.collection.UnpublishableParts(j.progress); n > 0 {
		j.collection.Forget(j.progress)
	}
	for _, p := range s.Parts {
		if p.Discrepancy != "" {
			j.Log.Warn().Str("instance", p.Instance).Int64("period", s.Period).Str("why", p.Discrepancy).Msg("fleet's statement: an instance's entries do not reconcile")
		}
	}
	j.Log.Info().Int64("period", s.Period).Bool("late", s.Late).Int("parts", len(s.Parts)).Strs("missing", s.MissingInstances).Msg("fleet's statement is published")
	return 0, nil
}

// readExports takes up what has been exported since. A folder that can't be read is told of once, and waited for: nothing is published
// without what was fixed to be in it.
func (j *Job) readExports() error {
	for _, pattern := range j.Directories {
		dirs, err := filepath.Glob(pattern)
		if err != nil {
			return err
		}
		for _, dir := range dirs {
			text := ""
			if err := j.readDirectory(dir); err != nil {
				text = err.Error()
			}
			if was := j.readErrors[dir]; text != was {
				if j.readErrors[dir] = text; text != "" {
					j.Log.Warn().Str("folder", dir).Str("why", text).Msg("fleet's statement: an export can't be read")
				}
			}
		}
	}
	return nil
}

func (j *Job) readDirectory(dir string) error {
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
		if b.To < j.collection.NextSequence(b.Instance, b.Epoch) || len(b.Files) == 0 {
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
			if err := j.collection.Add(rowFromExport(&r)); err != nil {
				return fmt.Errorf("%s: %w", b.Files[0], err)
			}
		}
	}
	return nil
}

func rowFromExport(r *sink.Row) statement.Row {
	return statement.Row{Instance: r.Instance, Epoch: r.Epoch, Sequence: r.Seq, Kind: r.Sort, Period: r.Period, RecordedAt: r.At, Customer: r.Customer,
		QueryType: r.QueryType, Front: r.Front, Outcome: r.Outcome, Refers: r.Refers, Counts: ledger.Counts{ledger.Searches: r.Searches,
			ledger.Parts: r.Parts, ledger.First: r.First, ledger.Repeat: r.Repeat, ledger.Copy: r.Copy, ledger.CalledOff: r.CalledOff,
			ledger.Work: r.Work, ledger.BytesIn: r.BytesIn, ledger.BytesOut: r.BytesOut, ledger.Server: r.Server}}
}
