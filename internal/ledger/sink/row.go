package sink

import "kestrelspread/internal/ledger"

// Row is one entry in a batch's files: a JSON line or a Parquet row. Times are Unix ms.
type Row struct {
	Instance        string `parquet:"instance,dict" json:"instance"`
	Epoch           uint64 `parquet:"epoch" json:"epoch"`
	Sequence        uint64 `parquet:"seq" json:"seq"`
	Kind            string `parquet:"sort,dict" json:"sort"`
	Period          int64  `parquet:"period_ms" json:"period_ms"`
	RecordedAt      int64  `parquet:"at_ms" json:"at_ms"`
	Customer        string `parquet:"customer,dict" json:"customer"`
	QueryType       string `parquet:"query_type,dict" json:"query_type"`
	Front           string `parquet:"front,dict" json:"front"`
	Outcome         string `parquet:"outcome,dict" json:"outcome"`
	Searches        int64  `parquet:"searches" json:"searches"`
	ShardRequests   int64  `parquet:"parts" json:"parts"`
	FirstAttempts   int64  `parquet:"first" json:"first"`
	Retries         int64  `parquet:"repeat" json:"repeat"`
	Hedges          int64  `parquet:"copy" json:"copy"`
	Cancelled       int64  `parquet:"called_off" json:"called_off"`
	WorkMicros      int64  `parquet:"work_us" json:"work_us"`
	BytesIn         int64  `parquet:"bytes_in" json:"bytes_in"`
	BytesOut        int64  `parquet:"bytes_out" json:"bytes_out"`
	ServerMicros    int64  `parquet:"server_us" json:"server_us"`
	CorrectionID    string `parquet:"correction" json:"correction,omitempty"`
	Author          string `parquet:"author" json:"author,omitempty"`
	Reason          string `parquet:"reason" json:"reason,omitempty"`
	Reference       string `parquet:"reference" json:"reference,omitempty"`
	CorrectedPeriod int64  `parquet:"refers_ms" json:"refers_ms,omitempty"`
}

func rowFromEntry(e *ledger.Entry) Row {
	return Row{
		Instance:        e.Instance,
		Epoch:           e.Epoch,
		Sequence:        e.Sequence,
		Kind:            e.Kind.String(),
		Period:          e.Period,
		RecordedAt:      e.RecordedAt,
		Customer:        e.Key.Customer,
		QueryType:       e.Key.QueryType,
		Front:           e.Key.Front.String(),
		Outcome:         e.Key.Outcome.String(),
		Searches:        e.Counts[ledger.Searches],
		ShardRequests:   e.Counts[ledger.ShardRequests],
		FirstAttempts:   e.Counts[ledger.FirstAttempts],
		Retries:         e.Counts[ledger.Retries],
		Hedges:          e.Counts[ledger.Hedges],
		Cancelled:       e.Counts[ledger.Cancelled],
		WorkMicros:      e.Counts[ledger.WorkMicros],
		BytesIn:         e.Counts[ledger.BytesIn],
		BytesOut:        e.Counts[ledger.BytesOut],
		ServerMicros:    e.Counts[ledger.ServerMicros],
		CorrectionID:    e.CorrectionID,
		Author:          e.Author,
		Reason:          e.Reason,
		Reference:       e.Reference,
		CorrectedPeriod: e.CorrectedPeriod,
	}
}
