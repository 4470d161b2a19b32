package controlapi

import (
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/go-chi/chi/v5"

	"kestrelspread/internal/node/nodepb"
)

// maxInstanceIDBytes bounds the length of a broker's id.
const maxInstanceIDBytes = 256

// heartbeatBody is the body of a heartbeat. Unknown fields are ignored.
type heartbeatBody struct {
	Service           string          `json:"service"`
	Address           string          `json:"address"`
	Zone              string          `json:"zone"`
	Version           any             `json:"version"` // of its software; ignored unless it is a string
	Slots             float64         `json:"slots"`
	State             string          `json:"state"`
	WarmUpRemainingMs float64         `json:"coldRemainingMs"`
	Sequence          uint64          `json:"sequence"`
	Stage             string          `json:"stage"`
	Models            []modelOnBroker `json:"models"`
}

// modelOnBroker is one model that a broker has loaded.
type modelOnBroker struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Adapters []any  `json:"adapters"` // names; items that aren't strings are ignored
}

// heartbeatReply is the body of the response to an acknowledged heartbeat.
type heartbeatReply struct {
	HeartbeatURL string `json:"heartbeatUrl,omitempty"`
}

// heartbeat handles a broker's heartbeat.
func (a *api) heartbeat(w http.ResponseWriter, r *http.Request) *requestError {
	id, rejection := instanceID(r)
	if rejection != nil {
		return rejection
	}
	body, rejection := readBody(w, r, maxSmallBodyBytes)
	if rejection != nil {
		return rejection
	}
	instance, rejection := decodeHeartbeat(id, body)
	if rejection != nil {
		return rejection
	}
	ctx, cancel := a.callContext(r)
	defer cancel()
	answer, err := a.backend.Heartbeat(ctx, instance)
	if err != nil {
		writeUnavailable(w, err.Error())
		return nil
	}
	writeJSON(w, http.StatusOK, heartbeatReply(answer))
	return nil
}

// deregister handles a broker's deregistration; its body, if any, is ignored.
func (a *api) deregister(w http.ResponseWriter, r *http.Request) *requestError {
	id, rejection := instanceID(r)
	if rejection != nil {
		return rejection
	}
	ctx, cancel := a.callContext(r)
	defer cancel()
	if err := a.backend.Deregister(ctx, id); err != nil {
		writeUnavailable(w, err.Error())
		return nil
	}
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}

// instanceID reads the broker's id from the path. chi matches the escaped path where there is one, so
// that the id has to be unescaped here.
func instanceID(r *http.Request) (string, *requestError) {
	id := chi.URLParam(r, "id")
	if r.URL.RawPath != "" {
		unescaped, err := url.PathUnescape(id)
		if err != nil {
			return "", badRequest("instance id: " + err.Error())
		}
		id = unescaped
	}
	if id == "" || len(id) > maxInstanceIDBytes {
		return "", badRequest("instance id: empty or too long")
	}
	return id, nil
}

// decodeHeartbeat decodes and validates the body of a heartbeat.
func decodeHeartbeat(id string, body []byte) (*nodepb.Instance, *requestError) {
	var heartbeat heartbeatBody
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, badRequest("heartbeat: " + err.Error())
	}
	if heartbeat.Service == "" {
		return nil, badRequest("service: is missing")
	}
	if _, err := netip.ParseAddrPort(heartbeat.Address); err != nil {
		return nil, badRequest("address: is not IP:port")
	}
	state, known := instanceStates[heartbeat.State]
	if !known {
		return nil, badRequest("state: is neither ready nor draining")
	}
	software, _ := heartbeat.Version.(string)
	return &nodepb.Instance{
		Id:                id,
		Service:           heartbeat.Service,
		Address:           heartbeat.Address,
		Zone:              heartbeat.Zone,
		Software:          software,
		Slots:             ceilUint32(heartbeat.Slots),
		State:             state,
		WarmUpRemainingMs: ceilUint32(heartbeat.WarmUpRemainingMs),
		Sequence:          heartbeat.Sequence,
		Stage:             heartbeat.Stage,
		Models:            modelsOnInstance(heartbeat.Models),
	}, nil
}

// instanceStates maps the states that a broker can report to those of the registry.
var instanceStates = map[string]nodepb.InstanceState{
	"ready":    nodepb.InstanceState_READY,
	"draining": nodepb.InstanceState_DRAINING,
}

func modelsOnInstance(models []modelOnBroker) []*nodepb.ModelOnInstance {
	var converted []*nodepb.ModelOnInstance
	for _, model := range models {
		converted = append(converted, &nodepb.ModelOnInstance{
			Name: model.Name, Version: model.Version, Adapters: stringsOf(model.Adapters),
		})
	}
	return converted
}

// stringsOf returns the items that are strings.
func stringsOf(items []any) []string {
	var strings []string
	for _, item := range items {
		if text, ok := item.(string); ok {
			strings = append(strings, text)
		}
	}
	return strings
}

// ceilUint32 rounds a number up and clamps it to the range of uint32.
func ceilUint32(number float64) uint32 {
	return uint32(min(max(math.Ceil(number), 0), math.MaxUint32))
}
