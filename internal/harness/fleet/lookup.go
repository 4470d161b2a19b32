package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// ErrNotAnswered says that a request was not answered by a broker.
var ErrNotAnswered = errors.New("fleet: request not answered")

// lookupDeadline is how long the client of a Lookup waits.
const lookupDeadline = 2 * time.Second

// LookupRequest is the head of a safe request of an ordinary client, with further header lines, each with its line end.
func LookupRequest(lines string) string {
	return fmt.Sprintf("GET %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		prefixLookup, routeHost, llmbroker.HeaderRequestID, newID(), llmbroker.HeaderDeadline, lookupDeadline.Milliseconds(), keyShared, lines)
}

// A short stream: its client waits for less than its events take.
const (
	shortStreamDeadline = 100 * time.Millisecond
	shortStreamEvents   = 400
)

// ShortStreamRequest is a request for a stream that its deadline ends.
func ShortStreamRequest() string {
	return fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n"+
		"%s: %s\r\n%s: 10,%d\r\n%s: a1:10\r\nContent-Length: 0\r\n\r\n",
		prefixVerdict, routeHost, llmbroker.HeaderRequestID, newID(), llmbroker.HeaderDeadline, shortStreamDeadline.Milliseconds(), keyShared,
		llmbroker.HeaderModel, modelName, llmbroker.HeaderTokenCount, shortStreamEvents, llmbroker.HeaderPromptPrefix)
}

// Lookup sends one safe request to a node, on a connection of its own. The error is of type ErrNotAnswered unless the answer is
// complete and a broker's.
func Lookup(ctx context.Context, node *Node) error {
	return lookup(ctx, node, request{method: http.MethodGet, uri: prefixLookup + "1"})
}

// LargestLookup sends one safe request whose head and body are just within the limits of FirstConfiguration: the head has as many
// fields as it can.
func LargestLookup(ctx context.Context, node *Node, headBytes, bodyBytes int) error {
	const field, fieldBytes = "a", len("a: \r\n")
	large := request{method: http.MethodPost, uri: prefixLookup + "1", body: make([]byte, bodyBytes)}
	for range (headBytes - len(LookupRequest("")) - len("Content-Length: 4194304\r\n")) / fieldBytes {
		large.headers = append(large.headers, header{name: field})
	}
	return lookup(ctx, node, large)
}

// lookup sends a request with the headers of an ordinary client.
func lookup(ctx context.Context, node *Node, r request) error {
	conn, err := connect(node)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAnswered, err)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	id := newID()
	r.headers = append([]header{
		{llmbroker.HeaderRequestID, id},
		{llmbroker.HeaderDeadline, fmt.Sprint(lookupDeadline.Milliseconds())},
		{"Authorization", "Bearer " + keyShared},
	}, r.headers...)
	answer, _, err := conn.exchange(&r, time.Now().Add(lookupDeadline+responseSlack))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAnswered, err)
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrNotAnswered, answer.StatusCode)
	}
	if answer.Header.Get(llmbroker.HeaderRequestID) != id {
		return fmt.Errorf("%w: the answer is to another request", ErrNotAnswered)
	}
	defect, err := checkBody(answer)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAnswered, err)
	}
	if defect != "" {
		return fmt.Errorf("%w: %s", ErrNotAnswered, defect)
	}
	return nil
}
