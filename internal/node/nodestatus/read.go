package nodestatus

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

// Path is where a node's control address serves its status.
const Path = "/kestrelspread/status"

// maxBytes bounds what is read of an answer.
const maxBytes = 64 << 20

var (
	namespace = errorx.NewNamespace("nodestatus")
	// Unreachable: a node gave no status.
	Unreachable = namespace.NewType("unreachable")
)

// Read asks the node at a control address, "IP:port".
func Read(ctx context.Context, address string) (*Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, Unreachable.Wrap(err, "%s", address)
	}
	request.Close = true
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, Unreachable.Wrap(err, "%s", address)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, Unreachable.New("%s: status %d", address, answer.StatusCode)
	}
	status := &Status{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxBytes)).Decode(status); err != nil {
		return nil, Unreachable.Wrap(err, "%s: what came is no status", address)
	}
	if status.ID == "" {
		return nil, Unreachable.New("%s: the node is too busy to tell", address)
	}
	return status, nil
}
