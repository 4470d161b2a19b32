package collector

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"kestrelspread/internal/fleet/statement"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/sink"
)

// manifestName is the file in which an export lists its batches, as one JSON object per line.
const manifestName = "manifest.jsonl"

// readExports reads what has been exported since the last call. An error in a directory is logged once, and the directory is tried
// again at the next call. That is safe, as a statement is never published without a part that its intent lists.
func (j *Job) readExports() error {
	for _, pattern := range j.Directories {
		directories, err := filepath.Glob(pattern)
		if err != nil {
			return err
		}
		for _, directory := range directories {
			j.logReadError(directory, j.readDirectory(directory))
		}
	}
	return nil
}

// logReadError logs the error of a directory, which may be nil, if its text differs from that of the previous call.
func (j *Job) logReadError(directory string, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == j.readErrors[directory] {
		return
	}
	j.readErrors[directory] = text
	if text != "" {
		j.Log.Warn().Str("folder", directory).Str("why", text).Msg("fleet's statement: an export can't be read")
	}
}

// readDirectory reads the batches of one instance's export that have not been read yet. A missing manifest is no error, as it means that
// the export has not begun.
func (j *Job) readDirectory(directory string) error {
	manifest, err := os.ReadFile(filepath.Join(directory, manifestName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for line := range bytes.Lines(manifest) {
		var batch sink.Batch
		if err := json.Unmarshal(line, &batch); err != nil {
			return fmt.Errorf("parse %s: %w", manifestName, err)
		}
		if batch.To < j.collection.NextSequence(batch.Instance, batch.Epoch) || len(batch.Files) == 0 {
			continue
		}
		if err := j.readBatch(directory, batch.Files[0]); err != nil {
			return err
		}
	}
	return nil
}

// readBatch adds the rows of a batch's file, which has one JSON object per line, to the collection.
func (j *Job) readBatch(directory, file string) error {
	rows, err := os.ReadFile(filepath.Join(directory, filepath.Base(file)))
	if err != nil {
		return err
	}
	for line := range bytes.Lines(rows) {
		var row sink.Row
		if err := json.Unmarshal(line, &row); err != nil {
			return fmt.Errorf("parse batch %s: %w", file, err)
		}
		if err := j.collection.Add(rowFromExport(&row)); err != nil {
			return fmt.Errorf("batch %s: %w", file, err)
		}
	}
	return nil
}

// rowFromExport converts an exported row to the form that package statement uses.
func rowFromExport(r *sink.Row) statement.Row {
	return statement.Row{
		Instance:   r.Instance,
		Epoch:      r.Epoch,
		Sequence:   r.Sequence,
		Kind:       r.Kind,
		Period:     r.Period,
		RecordedAt: r.RecordedAt,
		Customer:   r.Customer,
		QueryType:  r.QueryType,
		Front:      r.Front,
		Outcome:    r.Outcome,
		Counts: ledger.Counts{
			ledger.Searches:      r.Searches,
			ledger.ShardRequests: r.ShardRequests,
			ledger.FirstAttempts: r.FirstAttempts,
			ledger.Retries:       r.Retries,
			ledger.Hedges:        r.Hedges,
			ledger.Cancelled:     r.Cancelled,
			ledger.WorkMicros:    r.WorkMicros,
			ledger.BytesIn:       r.BytesIn,
			ledger.BytesOut:      r.BytesOut,
			ledger.ServerMicros:  r.ServerMicros,
		},
	}
}
