package controlapi

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"

	"kestrelspread/internal/node/nodepb"
)

// headerBaseVersion carries the version that a configuration change is based on; 0 for the first.
const headerBaseVersion = "X-Kestrelspread-Base-Version"

// commandIDBytes is how many bytes of a command's hash form its id.
const commandIDBytes = 16

// changeReply is the body of the response to a change.
type changeReply struct {
	Version uint64 `json:"version"`         // in force after the change, or the current one where it was rejected
	Error   string `json:"error,omitempty"` // path of the field, and the problem
}

// modelVersionBody is the body of a request that names new weights of a model.
type modelVersionBody struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// replaceConfig handles a full replacement of the configuration.
func (a *api) replaceConfig(w http.ResponseWriter, r *http.Request) *requestError {
	return a.changeConfig(w, r, pathReplace)
}

// updateConfig handles a partial update of the configuration.
func (a *api) updateConfig(w http.ResponseWriter, r *http.Request) *requestError {
	return a.changeConfig(w, r, pathUpdate)
}

// changeConfig submits a configuration change without decoding it: the head of the chain validates it.
func (a *api) changeConfig(w http.ResponseWriter, r *http.Request, path string) *requestError {
	base, err := strconv.ParseUint(r.Header.Get(headerBaseVersion), 10, 64)
	if err != nil {
		return badRequest(headerBaseVersion + ": is not a version")
	}
	body, rejection := readBody(w, r, a.maxBodyBytes)
	if rejection != nil {
		return rejection
	}
	change := &nodepb.ConfigChange{Replace: path == pathReplace, BaseVersion: base, Body: body}
	a.submit(w, r, path, &nodepb.Command{
		Id:     commandID(path, base, body),
		Change: &nodepb.Command_ConfigChange{ConfigChange: change},
	})
	return nil
}

// putModelVersion handles the naming of new weights of a model.
func (a *api) putModelVersion(w http.ResponseWriter, r *http.Request) *requestError {
	body, rejection := readBody(w, r, maxSmallBodyBytes)
	if rejection != nil {
		return rejection
	}
	var named modelVersionBody
	if err := json.Unmarshal(body, &named); err != nil {
		return badRequest("body: " + err.Error())
	}
	if named.Model == "" {
		return badRequest("model: is missing")
	}
	if named.Version == 0 {
		return badRequest("version: is missing; versions start at 1")
	}
	change := &nodepb.ModelVersionChange{Model: named.Model, Version: named.Version}
	a.submit(w, r, pathVersionPut, &nodepb.Command{
		Id:     commandID(pathVersionPut, named.Version, []byte(named.Model)),
		Change: &nodepb.Command_ModelVersion{ModelVersion: change},
	})
	return nil
}

// submit submits a command to the chain and writes its result.
func (a *api) submit(w http.ResponseWriter, r *http.Request, path string, command *nodepb.Command) {
	ctx, cancel := a.callContextForBody(r, len(command.GetConfigChange().GetBody()))
	defer cancel()
	result, err := a.backend.Submit(ctx, command)
	if err != nil {
		a.log.Info("controlapi: change without result", "path", path, "command", command.GetId(), "error", err)
		writeUnavailable(w, err.Error())
		return
	}
	a.log.Info("controlapi: change", "path", path, "command", command.GetId(), "result", result.GetCode().String(),
		"version", result.GetVersion(), "text", result.GetText())
	writeResult(w, result)
}

// writeResult writes the response to a change. Only the chain's own result rejects a change for good:
// anything else is a 503, after which the operator repeats it.
func writeResult(w http.ResponseWriter, result *nodepb.CommandResult) {
	reply := changeReply{Version: result.GetVersion(), Error: result.GetText()}
	switch result.GetCode() {
	case nodepb.ResultCode_TAKEN:
		writeJSON(w, http.StatusOK, changeReply{Version: result.GetVersion()})
	case nodepb.ResultCode_CONFLICT:
		writeJSON(w, http.StatusPreconditionFailed, reply)
	case nodepb.ResultCode_INVALID:
		writeJSON(w, http.StatusBadRequest, reply)
	case nodepb.ResultCode_TOO_LARGE:
		writeJSON(w, http.StatusRequestEntityTooLarge, reply)
	default:
		writeUnavailable(w, result.GetText())
	}
}

// fetchConfig responds with the newest configuration as the operator sent it.
func (a *api) fetchConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := a.callContext(r)
	defer cancel()
	body, err := a.backend.Fetch(ctx)
	if err != nil {
		writeUnavailable(w, err.Error())
		return
	}
	if len(body) == 0 {
		writeUnavailable(w, "no configuration has been taken")
		return
	}
	writeBody(w, http.StatusOK, body)
}

// commandID derives a command's id from its content, so that a repeated command has the same id at any
// node, and is applied once.
func commandID(path string, version uint64, body []byte) string {
	hash := sha256.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(len(path)))
	hash.Write(number[:])
	hash.Write([]byte(path))
	binary.BigEndian.PutUint64(number[:], version)
	hash.Write(number[:])
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:commandIDBytes])
}
