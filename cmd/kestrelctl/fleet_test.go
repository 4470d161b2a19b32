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

// nodeAt serves a status, and gives the address.
func nodeAt(t *testing.T, status nodestatus.Status) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func statusOf(name string, epoch uint64) nodestatus.Status {
	return nodestatus.Status{
		Node: name, ID: name + "/1", Zone: "zone-a", Ready: true, ConfigVersion: 7, ModelVersions: map[string]uint64{"m": 2},
		Members:   []nodestatus.Member{{Name: "n1"}, {Name: "n2"}},
		Chain:     &nodestatus.Chain{Epoch: epoch, Role: "head", Chain: []string{"a", "b"}, Committed: 12, DiskFine: true},
		Instances: []nodestatus.Instance{{ID: "i1", State: "READY"}, {ID: "i2", State: "READY"}, {ID: "i3", State: "DRAINING"}},
		Requests:  nodestatus.Requests{Taken: 10, Answered: 8, Refused: 1, Failed: 1, Attempts: 8},
		Choices:   nodestatus.Choices{ByPrediction: 2, ByLoad: 6},
		Refusals:  map[string]uint64{"all brokers full": 1},
	}
}

// nobody gives an address at which nobody listens.
func nobody(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

func TestFleetStatus(t *testing.T) {
	agreeing := []string{nodeAt(t, statusOf("n1", 3)), nodeAt(t, statusOf("n2", 3))}
	ahead := nodeAt(t, statusOf("n3", 4))
	other := statusOf("n4", 3)
	other.ConfigVersion = 9
	for _, test := range []struct {
		name      string
		addresses []string
		says      []string
		failure   string
	}{
		{"agreement", agreeing, []string{"n1", "n2", "m=2", "head", "2 ready 1 draining", "25.0%", "n1 refused: all brokers full 1"}, ""},
		{"another view", append([]string{ahead}, agreeing...), []string{"n3", "the view differently: epoch 4, chain a b (n3)"}, "disagree on the view"},
		{"a change on its way", append([]string{nodeAt(t, other)}, agreeing...), []string{"the state in force differently"}, ""},
		{"nobody there", append([]string{nobody(t)}, agreeing...), []string{"unreachable", "n1"}, "can't be reached"},
	} {
		t.Run(test.name, func(t *testing.T) {
			out, err := ctl(append([]string{"fleet", "status", "--within", "1ms"}, test.addresses...)...)
			if test.failure == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, test.failure)
			}
			for _, word := range test.says {
				assert.Assert(t, strings.Contains(out, word), "%s\nis not in\n%s", word, out)
			}
		})
	}
}

func TestFleetStatusAsJSON(t *testing.T) {
	out, err := ctl("fleet", "status", "--json", nodeAt(t, statusOf("n1", 3)))
	assert.NilError(t, err)
	var picture fleetPicture
	assert.NilError(t, json.Unmarshal([]byte(out), &picture))
	assert.Equal(t, picture.Nodes[0].Chain.Committed, uint64(12))
	assert.Equal(t, len(picture.Unreachable), 0)
}

func TestFleetDemoTellsHowToBuildItsNode(t *testing.T) {
	_, err := ctl("fleet", "demo", "--binary", filepath.Join(t.TempDir(), "kestrelnode"))
	assert.ErrorContains(t, err, "go build -o bin/ ./cmd/...")
}
