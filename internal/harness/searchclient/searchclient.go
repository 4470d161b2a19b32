// Package searchclient is the HTTP form of a search, as clients of the harness send it to an aggregator whose servers are fakeservers:
// the request, the complete result that these servers make of it, and the answer.
//
// Source: WIRE, "Searches".
package searchclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"kestrelspread/internal/standin/fakeservers"
)

// Search is one search over some shards of equal weight. Its ID is its text too, by which servers make its result.
type Search struct {
	ID     string
	Type   string
	Shards []int
}

// Adjacent lists count shards from the first one on, modulo their total.
func Adjacent(first, count, total int) []int {
	shards := make([]int, count)
	for i := range shards {
		shards[i] = (first + i) % total
	}
	return shards
}

// Request returns the request of the search at an aggregator's address. timeoutMs is how long its client waits, isRetry that an
// aggregator has shed it before.
func (s *Search) Request(ctx context.Context, address string, timeoutMs int, isRetry bool) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api", strings.NewReader(s.body()))
	if err != nil {
		panic(err) // an address of the harness is a valid part of a URL
	}
	request.Header.Set("X-Call-Id", s.ID)
	request.Header.Set("X-Call-Class", s.Type)
	request.Header.Set("X-Budget-Ms", strconv.Itoa(timeoutMs))
	if isRetry {
		request.Header.Set("X-Again", "1")
	}
	return request
}

func (s *Search) body() string {
	var body strings.Builder
	body.WriteString(`{"segments":[`)
	for i, shard := range s.Shards {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"segment":%d,"boost":%.9f}`, shard, 1/float64(len(s.Shards)))
	}
	fmt.Fprintf(&body, `],"text":%q}`, s.ID)
	return body.String()
}

// Expected is the complete result, as Answer.Result has it.
func (s *Search) Expected() string {
	var expected strings.Builder
	for _, shard := range s.Shards {
		expected.WriteString(part(shard, fakeservers.ShardResult(shard, s.ID)))
	}
	return expected.String()
}

// part is the result of one shard.
func part(shard int, payload string) string { return fmt.Sprintf("%d=%s ", shard, payload) }

// Answer is the body of an answer with status 200.
type Answer struct {
	Complete bool     // it says that all shards are in
	Parts    []string // of the shards, in the order of the answer
}

// ParseAnswer reads the body of an answer; one that can't be read is an answer without parts.
func ParseAnswer(text []byte) Answer {
	var body struct {
		AllIn   bool `json:"all_in"`
		Matches []struct {
			Segment int
			Payload string
		}
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return Answer{}
	}
	answer := Answer{Complete: body.AllIn}
	for _, match := range body.Matches {
		answer.Parts = append(answer.Parts, part(match.Segment, match.Payload))
	}
	return answer
}

// Result is all parts together.
func (a *Answer) Result() string { return strings.Join(a.Parts, "") }
