package nodestatus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Path is the path of the status at a node's control address.
const Path = "/kestrelspread/status"

// maxStatusBytes bounds what is read of a response.
const maxStatusBytes = 64 << 20

var (
	// ErrUnreachable says that a node returned no status.
	ErrUnreachable = errors.New("node status: unreachable")
)

// Fetch returns the status of the node at a control address, "IP:port". The error is of type
// ErrUnreachable.
func Fetch(ctx context.Context, address string) (*Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s: status %d", ErrUnreachable, address, response.StatusCode)
	}
	status := &Status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(status); err != nil {
		return nil, fmt.Errorf("%w: %s: what came is no status: %w", ErrUnreachable, address, err)
	}
	if status.ID == "" {
		return nil, fmt.Errorf("%w: %s: the node is too busy to tell", ErrUnreachable, address)
	}
	return status, nil
}
