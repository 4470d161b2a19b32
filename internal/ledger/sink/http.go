package sink

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
)

// HTTP is a receiver that takes batches by POST, as JSON lines. The Idempotency-Key names the batch for good and Batch-Hash its
// entries; the receiver answers 200 with {"batch":"N","hash":"..."} of what it holds under that key, whether it came now or
// before. Any other answer, or none, means that the batch is offered again.
type HTTP struct {
	URL    string
	client http.Client
}

const (
	responseTimeout  = 10 * time.Second
	maxResponseBytes = 4 << 10
)

// NewHTTP makes one.
func NewHTTP(url string) *HTTP { return &HTTP{URL: url, client: http.Client{Timeout: responseTimeout}} }

// Put offers a batch.
func (h *HTTP) Put(instance string, epoch uint64, i export.Intent, entries []*ledger.Entry) (batch, hash uint64, n int, err error) {
	var lines bytes.Buffer
	to := json.NewEncoder(&lines)
	for _, e := range entries {
		if err := to.Encode(rowFromEntry(e)); err != nil {
			return 0, 0, 0, err
		}
	}
	n = lines.Len()
	q, err := http.NewRequest("POST", h.URL, &lines)
	if err != nil {
		return 0, 0, 0, err
	}
	q.GetBody = nil // the library does not offer it again by itself
	q.Header.Set("Content-Type", "application/x-ndjson")
	q.Header.Set("Idempotency-Key", batchName(instance, epoch, i.Batch))
	q.Header.Set("Batch-Hash", strconv.FormatUint(i.Hash, 16))
	resp, err := h.client.Do(q)
	if err != nil {
		return 0, 0, n, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, 0, n, err
	}
	if resp.StatusCode != 200 {
		return 0, 0, n, fmt.Errorf("the receiver answers %s", resp.Status)
	}
	var says struct{ Batch, Hash string }
	if err := json.Unmarshal(text, &says); err != nil {
		return 0, 0, n, fmt.Errorf("the receiver's answer: %w", err)
	}
	if batch, err = strconv.ParseUint(says.Batch, 10, 64); err == nil {
		hash, err = strconv.ParseUint(says.Hash, 16, 64)
	}
	if err != nil {
		return 0, 0, n, fmt.Errorf("the receiver's answer: %w", err)
	}
	return batch, hash, n, nil
}
