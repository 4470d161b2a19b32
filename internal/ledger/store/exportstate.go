package store

import (
	"encoding/json"

	"github.com/cockroachdb/pebble/v2"

	"kestrelspread/internal/ledger/export"
)

// ExportState is a sink's state: its cursor and the batch that was fixed, if one is. Both are in one record, so that one write
// moves the cursor and ends the intent.
type ExportState struct {
	Cursor export.Cursor  `json:"Cursor"`
	Intent *export.Intent `json:"Intent"`
}

// LoadExport reads a sink's state; of an unknown sink it is empty.
func (s *Store) LoadExport(sink string) (state ExportState, err error) {
	stored, err := s.readRecord(exportKeyPrefix+sink, exportRecord)
	if err == nil && stored != nil {
		err = json.Unmarshal(stored, &state)
	}
	return state, err
}

// SaveExport makes a sink's state durable.
func (s *Store) SaveExport(sink string, state ExportState) error {
	payload, _ := json.Marshal(state) // numbers can't fail
	return s.db.Set([]byte(exportKeyPrefix+sink), seal(exportRecord, payload), pebble.Sync)
}
