package nodestatus

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

// Path is the path of the status at a node's control address.
const Path = "/kestrelspread/status"

// maxStatusBytes bounds what is read of a response.
const maxStatusBytes = 64 << 20

var (
	namespace = errorx.NewNamespace("nodestatus")
	// Unreachable says that a node returned no status.
	Unreachable = namespace.NewType("unreachable")
)

// Fetch returns the status of the node at a control address, "IP:port". The error is of type
// Unreachable.
func Fetch(ctx context.Context, address string) (*Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, Unreachable.Wrap(err, "%s", address)
	}
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, Unreachable.Wrap(err, "%s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, Unreachable.New("%s: status %d", address, response.StatusCode)
	}
	status := &Status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(status); err != nil {
		return nil, Unreachable.Wrap(err, "%s: what came is no status", address)
	}
	if status.ID == "" {
		return nil, Unreachable.New("%s: the node is too busy to tell", address)
	}
	return status, nil
}
