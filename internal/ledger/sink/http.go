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

// HTTP is a receiver that takes batches by POST, as JSON lines. The Idempotency-Key identifies the batch for good and Batch-Hash
// its entries; the receiver answers 200 with {"batch":"N","hash":"..."} of what it holds under that key, whether it came now or
// before. Any other answer, or none, means that the batch is offered again.
type HTTP struct {
	URL    string
	client http.Client
}

const (
	responseTimeout  = 10 * time.Second
	maxResponseBytes = 4 << 10
)

// NewHTTP returns a sink that posts to a URL.
func NewHTTP(url string) *HTTP {
	return &HTTP{URL: url, client: http.Client{Timeout: responseTimeout}}
}

// Put implements Sink: it offers a batch.
func (h *HTTP) Put(instance string, epoch uint64, intent export.Intent, entries []*ledger.Entry) (batch, hash uint64, written int, err error) {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, e := range entries {
		if err := encoder.Encode(rowFromEntry(e)); err != nil {
			return 0, 0, 0, err
		}
	}
	written = lines.Len()
	request, err := http.NewRequest("POST", h.URL, &lines)
	if err != nil {
		return 0, 0, 0, err
	}
	request.GetBody = nil // the library must not offer it again by itself
	request.Header.Set("Content-Type", "application/x-ndjson")
	request.Header.Set("Idempotency-Key", batchName(instance, epoch, intent.Batch))
	request.Header.Set("Batch-Hash", strconv.FormatUint(intent.Hash, 16))
	batch, hash, err = h.do(request)
	return batch, hash, written, err
}

// do sends a request and reads the receiver's answer.
func (h *HTTP) do(request *http.Request) (batch, hash uint64, err error) {
	response, err := h.client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("the receiver answers %s", response.Status)
	}
	batch, hash, err = parseAnswer(body)
	if err != nil {
		return 0, 0, fmt.Errorf("the receiver's answer: %w", err)
	}
	return batch, hash, nil
}

// parseAnswer reads numbers from strings: JSON numbers don't hold 64 bits everywhere.
func parseAnswer(body []byte) (batch, hash uint64, err error) {
	var answer struct {
		Batch string `json:"Batch"`
		Hash  string `json:"Hash"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, 0, err
	}
	if batch, err = strconv.ParseUint(answer.Batch, 10, 64); err != nil {
		return 0, 0, err
	}
	if hash, err = strconv.ParseUint(answer.Hash, 16, 64); err != nil {
		return 0, 0, err
	}
	return batch, hash, nil
}
