package rollout

import (
	"encoding/json"

	"kestrelspread/internal/invariant"
)

const (
	operationVersion = "version" // load a version of a model's weights
	modeWait         = "wait"    // running requests end first
)

// versionOrderBody is the body of an order that has a broker load a version. Source: PROTOCOL.md,
// "Requests".
type versionOrderBody struct {
	Operation string `json:"op"`
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Mode      string `json:"mode"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
}

func versionOrder(model string, version uint64, holderID string, fence uint64) []byte {
	body, err := json.Marshal(versionOrderBody{
		Operation: operationVersion,
		Model:     model,
		Version:   version,
		Mode:      modeWait,
		Holder:    holderID,
		Fence:     fence,
	})
	invariant.Check(err == nil, "an order can be written as JSON")
	return body
}
