package operator

import "kestrelspread/internal/ledger"

// Ledger is the ledger of use. Whoever has zones checks Zone.
type Ledger struct {
	Directory        string
	Instance         string // "": the broker's name
	Zone             string
	PeriodUnit       ledger.PeriodUnit
	Hours            int // of a period where PeriodUnit is ledger.Hourly
	GraceMs          float64
	ExportDirectory  string // "": none
	ExportURL        string // of a receiver; "": none
	BatchEntries     int
	ExportIntervalMs float64
	RetentionMs      float64 // of exported entries; 0: for ever
}

const (
	dayMs = 86400e3

	defaultGraceMs          = 60e3
	defaultBatchEntries     = 1000
	defaultExportIntervalMs = 60e3
)

// periodUnits are the file's words.
var periodUnits = map[string]ledger.PeriodUnit{"hours": ledger.Hourly, "day": ledger.Daily, "month": ledger.Monthly}

func (f *ledgerFile) settings(found *Findings) *Ledger {
	l := &Ledger{
		Directory:   f.Folder,
		Instance:    f.Instance,
		Zone:        f.Period.Zone,
		PeriodUnit:  periodUnits[f.Period.Every],
		Hours:       max(f.Period.Hours, 1),
		GraceMs:     valueOr(f.Period.Grace, defaultGraceMs),
		RetentionMs: f.Keep * dayMs,
	}
	if f.Export == nil {
		return l
	}
	l.ExportDirectory = f.Export.Folder
	l.ExportURL = f.Export.URL
	l.BatchEntries = valueOr(f.Export.Batch, defaultBatchEntries)
	l.ExportIntervalMs = valueOr(f.Export.Every, defaultExportIntervalMs)
	if f.Export.Folder == f.Folder {
		found.add("/ledger/export/folder", "is the ledger's own")
	}
	return l
}
