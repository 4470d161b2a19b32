package sink

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
)

// Batch is one line of the manifest.
type Batch struct {
	Instance string `json:"Instance"`
	Epoch    uint64 `json:"Epoch"`
	export.Intent
	Files []string `json:"Files"`
}

// Directory is a sink that writes files.
type Directory struct {
	Path    string
	batches map[string]Batch // by batchName
}

const manifestName = "manifest.jsonl"

// batchName identifies a batch for good.
func batchName(instance string, epoch, batch uint64) string {
	return fmt.Sprintf("%s-%x-%08d", instance, epoch, batch)
}

// OpenDirectory reads a directory's manifest, or makes the directory.
func OpenDirectory(path string) (*Directory, error) {
	d := &Directory{Path: path, batches: map[string]Batch{}}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	manifest, err := d.readManifest()
	if err != nil {
		return nil, err
	}
	for line := range bytes.Lines(manifest) {
		var b Batch
		if err := json.Unmarshal(line, &b); err != nil {
			return nil, fmt.Errorf("%s: %w", manifestName, err)
		}
		d.batches[batchName(b.Instance, b.Epoch, b.Batch)] = b
	}
	return d, nil
}

// readManifest returns nothing where there is no manifest yet.
func (d *Directory) readManifest() ([]byte, error) {
	manifest, err := os.ReadFile(d.file(manifestName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return manifest, nil
}

func (d *Directory) file(name string) string { return filepath.Join(d.Path, name) }

// Put implements Sink: it writes a batch, or finds that it is there. Nothing is there before the manifest names it: files
// that a crash left behind are written again.
func (d *Directory) Put(instance string, epoch uint64, intent export.Intent, entries []*ledger.Entry) (batch, hash uint64, written int, err error) {
	name := batchName(instance, epoch, intent.Batch)
	if present, found := d.batches[name]; found {
		return present.Batch, present.Hash, 0, nil
	}
	lines, columns, err := encodeBatch(entries)
	if err != nil {
		return 0, 0, 0, err
	}
	added := Batch{Instance: instance, Epoch: epoch, Intent: intent, Files: []string{name + ".jsonl", name + ".parquet"}}
	err = errors.Join(writeAtomically(d.file(added.Files[0]), lines), writeAtomically(d.file(added.Files[1]), columns))
	if err != nil {
		return 0, 0, 0, err
	}
	manifest, err := d.readManifest()
	if err != nil {
		return 0, 0, 0, err
	}
	line, _ := json.Marshal(added) // strings and numbers can't fail
	if err := writeAtomically(d.file(manifestName), append(append(manifest, line...), '\n')); err != nil {
		return 0, 0, 0, err
	}
	d.batches[name] = added
	return intent.Batch, intent.Hash, len(lines) + len(columns) + len(manifest), nil
}

// encodeBatch returns entries as JSON lines and as Parquet.
func encodeBatch(entries []*ledger.Entry) (lines, columns []byte, err error) {
	rows := make([]Row, len(entries))
	var jsonLines, parquetFile bytes.Buffer
	encoder := json.NewEncoder(&jsonLines)
	for i, e := range entries {
		rows[i] = rowFromEntry(e)
		if err := encoder.Encode(rows[i]); err != nil {
			return nil, nil, err
		}
	}
	if err := parquet.Write(&parquetFile, rows); err != nil {
		return nil, nil, err
	}
	return jsonLines.Bytes(), parquetFile.Bytes(), nil
}

// writeAtomically writes a file so that after a crash it is there completely or not at all: under a temporary name, synced,
// renamed, and the directory synced.
func writeAtomically(path string, content []byte) error {
	temporary := path + ".tmp"
	err := writeSynced(temporary, content)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		os.Remove(temporary)
		return err
	}
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}

func writeSynced(path string, content []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
