package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodestatus"
)

// serveStatus serves a status, and returns the address.
func serveStatus(t *testing.T, status nodestatus.Status) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// statusOf returns the status of a node at an epoch.
func statusOf(name string, epoch uint64) nodestatus.Status {
	return nodestatus.Status{
		Node: name, ID: name + "/1", Zone: "zone-a", Ready: true, ConfigVersion: 7, ModelVersions: map[string]uint64{"m": 2},
		Members:   []nodestatus.Member{{Name: "n1"}, {Name: "n2"}},
		Chain:     &nodestatus.Chain{Epoch: epoch, Role: "head", Chain: []string{"a", "b"}, Committed: 12, DiskHealthy: true},
		Instances: []nodestatus.Instance{{ID: "i1", State: "READY"}, {ID: "i2", State: "READY"}, {ID: "i3", State: "DRAINING"}},
		Requests:  nodestatus.Requests{Received: 10, Answered: 8, Rejected: 1, Failed: 1, Attempts: 8},
		Choices:   nodestatus.Choices{ByPrediction: 2, ByLoad: 6},
		Refusals:  map[string]uint64{"all brokers full": 1},
		Prompts:   nodestatus.Prompts{Shared: 2000, Cached: 1000, InPrefill: 100, FromBroker: 300, FromStore: 200, FirstSeen: 300, Recomputed: 100},
		Late:      map[string]uint64{"waited for other prompts": 4},
		NewestLate: []nodestatus.LateRequest{{Ago: "2s", Route: "r-oldest"}, {Ago: "1s", Route: "r1", Instance: "i1",
			Cause: "waited for other prompts", FirstEvent: "510ms", MaxGap: "0s", PrefillTokens: 700, QueuedPrefillTokens: 21000, Load: 3, Running: 2, Waiting: 1},
			{Route: "r2"}, {Route: "r3"}},
		DisabledMechanisms: []string{"copies", "overload"},
	}
}

// unusedAddress returns an address at which nobody listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

func TestFleetStatusReportsDisagreements(t *testing.T) {
	agreeing := []string{serveStatus(t, statusOf("n1", 3)), serveStatus(t, statusOf("n2", 3))}
	ahead := serveStatus(t, statusOf("n3", 4))
	other := statusOf("n4", 3)
	other.ConfigVersion = 9
	for _, test := range []struct {
		name      string
		addresses []string
		says      []string
		failure   string
	}{
		{"agreement", agreeing, []string{"n1", "n2", "m=2", "head", "2 ready 1 draining", "25.0%", "n1 refused: all brokers full 1",
			"n1 switched off: copies, overload", "n1 shared tokens: 50.0% held, 5.0% coming, 15.0% from brokers, 10.0% from the store, 15.0% first, 5.0% again",
			"n1 late: waited for other prompts 4",
			"1s ago, r1 at i1: waited for other prompts; first event 510ms, pause 0s, 700 tokens unread, 21000 ahead, longest other 0, load 3 believed, 2+1 reported"}, ""},
		{"another view", append([]string{ahead}, agreeing...), []string{"n3", "the view differently: epoch 4, chain a b (n3)"}, "disagree on the view"},
		{"a change on its way", append([]string{serveStatus(t, other)}, agreeing...), []string{"the state in force differently"}, ""},
		{"nobody there", append([]string{unusedAddress(t)}, agreeing...), []string{"unreachable", "n1"}, "can't be reached"},
	} {
		t.Run(test.name, func(t *testing.T) {
			out, err := ctl(append([]string{"fleet", "status", "--within", "1ms"}, test.addresses...)...)
			if test.failure == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, test.failure)
			}
			assert.Assert(t, !strings.Contains(out, "r-oldest"), "only the newest late answers are printed")
			for _, word := range test.says {
				assert.Assert(t, strings.Contains(out, word), "%s\nis not in\n%s", word, out)
			}
		})
	}
}

func TestFleetStatusPrintsJSON(t *testing.T) {
	out, err := ctl("fleet", "status", "--json", serveStatus(t, statusOf("n1", 3)))
	assert.NilError(t, err)
	var snapshot fleetSnapshot
	assert.NilError(t, json.Unmarshal([]byte(out), &snapshot))
	assert.Equal(t, snapshot.Nodes[0].Chain.Committed, uint64(12))
	assert.Equal(t, len(snapshot.Unreachable), 0)
}

func TestFleetDemoSaysHowToBuildItsNode(t *testing.T) {
	_, err := ctl("fleet", "demo", "--binary", filepath.Join(t.TempDir(), "kestrelnode"))
	assert.ErrorContains(t, err, "go build -o bin/ ./cmd/...")
}
