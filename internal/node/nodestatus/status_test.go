package nodestatus

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func node(name string, epoch uint64, chain ...string) *Status {
	return &Status{Node: name, ID: name + "/1", Chain: &Chain{Epoch: epoch, Chain: chain}, Members: []Member{{Name: "n1"}, {Name: "n2"}}}
}

func TestDisagreementsNameSubjectAndNodes(t *testing.T) {
	without := node("n2", 1, "a", "b")
	without.Chain = nil
	fewer := node("n2", 1, "a", "b")
	fewer.Members = fewer.Members[:1]
	other := node("n2", 1, "a", "b")
	other.ConfigVersion = 7
	turned := node("n2", 1, "a", "b")
	turned.Members = []Member{{Name: "n2"}, {Name: "n1"}}
	for _, test := range []struct {
		name   string
		second *Status
		found  string // empty: they agree
	}{
		{"the same", node("n2", 1, "a", "b"), ""},
		{"members in another order", turned, ""},
		{"another epoch", node("n2", 2, "a", "b"), "the view: epoch 1, chain a b (n1) | epoch 2, chain a b (n2)"},
		{"another chain", node("n2", 1, "b"), "the view: epoch 1, chain a b (n1) | epoch 1, chain b (n2)"},
		{"no view", without, "the view: epoch 1, chain a b (n1) | no view (n2)"},
		{"other members", fewer, "the members: n1 n2 (n1) | n1 (n2)"},
		{"another configuration", other, "the state in force: index 0, configuration 0 (n1) | index 0, configuration 7 (n2)"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var found []string
			for _, d := range Disagreements([]*Status{node("n1", 1, "a", "b"), test.second}) {
				found = append(found, string(d.Subject)+": "+d.Text)
			}
			assert.Equal(t, strings.Join(found, "; "), test.found)
		})
	}
}

func TestFetchReturnsStatusOrUnreachable(t *testing.T) {
	for _, test := range []struct {
		name, body string
		status     int
		fine       bool
	}{
		{"a status", `{"node":"n1","id":"n1/a","chain":{"epoch":3},"requests":{"taken":5}}`, 200, true},
		{"too busy", `{"node":"n1"}`, 200, false},
		{"no JSON", `hello`, 200, false},
		{"an error", `{}`, 404, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.URL.Path == Path)
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			t.Cleanup(server.Close)
			status, err := Fetch(context.Background(), strings.TrimPrefix(server.URL, "http://"))
			if !test.fine {
				assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, status.Chain.Epoch, uint64(3))
			assert.Equal(t, status.Requests.Received, uint64(5))
		})
	}
}
