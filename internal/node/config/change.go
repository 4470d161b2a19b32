package config

import (
	"kestrelspread/internal/node/config/rawjson"
	"kestrelspread/internal/node/nodepb"
)

// MaxBodyBytes bounds the body of a change, and a full configuration, in any fleet: bringing a
// state to a node is bounded by transfer.MaxMessage. A fleet may bound them further by its
// machines, see State.SetLimit.
const MaxBodyBytes = 24 << 20

// identifiedChange is a change of the configuration whose body was read as JSON.
type identifiedChange struct {
	request *nodepb.ConfigChange
	body    []byte // compact JSON
	digest  changeDigest
}

// preparedChange is a change of the configuration as carried out on the state's document. It is
// dropped with the next entry.
type preparedChange struct {
	digest   changeDigest
	previous *document
	next     *document
	changes  *changes
}

// checkConfig judges a change of the configuration at the head of the chain, in full.
func (s *State) checkConfig(request *nodepb.ConfigChange) (*nodepb.CommandResult, bool) {
	change, result := s.identify(request)
	if result != nil {
		return result, false
	}
	if s.prepared != nil && s.prepared.digest == change.digest {
		return nil, true // repeated before its entry was committed
	}
	prepared, err := s.prepare(change)
	if err != nil {
		return s.invalidResult(err), false
	}
	if size := max(len(request.GetBody()), prepared.next.renderedSize()); size > s.sizeLimit {
		return s.tooLargeResult(size), false
	}
	if err := checkTenantList(change, prepared); err != nil {
		return s.invalidResult(err), false
	}
	if err := s.checkPrepared(prepared); err != nil {
		return s.invalidResult(err), false
	}
	s.prepared = prepared
	return nil, true
}

// applyConfig carries out a committed change of the configuration. It repeats only what all
// replicas decide alike: the rules between items and the size limit were checked by the head.
// prepared is the change that Check read last, if any.
func (s *State) applyConfig(request *nodepb.ConfigChange, prepared *preparedChange) *nodepb.CommandResult {
	change, result := s.identify(request)
	if result != nil {
		return result
	}
	if prepared == nil || prepared.digest != change.digest {
		var err error
		if prepared, err = s.prepare(change); err != nil {
			return s.invalidResult(err)
		}
	}
	s.setDocument(prepared.next)
	s.takenChanges.add(takenChange{digest: change.digest, version: s.document.version, index: s.index})
	return s.takenResult(s.index, s.document.version)
}

// identify reads the body of a change and finds out whether it was taken before, or is based on
// another version than the current one. A result other than nil is the answer. A change that was
// taken stays taken, whatever was taken after it: so this goes before the base.
func (s *State) identify(request *nodepb.ConfigChange) (identifiedChange, *nodepb.CommandResult) {
	body, err := compactBody(request)
	if err != nil {
		return identifiedChange{}, s.invalidResult(err)
	}
	digest := digestOf(request.GetReplace(), request.GetBaseVersion(), body)
	if known, ok := s.takenChanges.find(digest); ok {
		return identifiedChange{}, s.takenResult(known.index, known.version)
	}
	if request.GetBaseVersion() != s.document.version {
		return identifiedChange{}, s.conflictResult(request)
	}
	return identifiedChange{request: request, body: body, digest: digest}, nil
}

// compactBody returns the body of a change without white space. It fails where the body is too long
// or not one JSON value.
func compactBody(request *nodepb.ConfigChange) ([]byte, error) {
	if len(request.GetBody()) > MaxBodyBytes {
		return nil, invalid("body", "longer than %d bytes", MaxBodyBytes)
	}
	body, err := rawjson.Compact(request.GetBody())
	if err != nil {
		return nil, invalid("body", "not readable: %s", reasonOf(err))
	}
	return body, nil
}

// prepare carries a change out on a copy of the document, and checks what Apply needs as well:
// form, version and the size that holds in any fleet.
func (s *State) prepare(change identifiedChange) (*preparedChange, error) {
	parse := parseUpdate
	if change.request.GetReplace() {
		parse = parseReplacement
	}
	next, changes, err := parse(change.body, s.document)
	if err != nil {
		return nil, err
	}
	if next.version <= s.document.version {
		return nil, invalid(versionMember, "%d is not above the current one, %d", next.version, s.document.version)
	}
	if named := change.request.GetVersion(); named != 0 && named != next.version {
		return nil, invalid(versionMember, "%d in the body, %d beside it", next.version, named)
	}
	if next.renderedSize() > MaxBodyBytes {
		return nil, invalid("body", "the whole configuration is longer than %d bytes", MaxBodyBytes)
	}
	return &preparedChange{digest: change.digest, previous: s.document, next: next, changes: changes}, nil
}

// checkPrepared checks the rules between items, and the schema of new and changed ones.
func (s *State) checkPrepared(prepared *preparedChange) error {
	if err := checkRules(prepared.next, prepared.previous, prepared.changes); err != nil {
		return err
	}
	if s.checker == nil || len(prepared.changes.schema) == 0 {
		return nil
	}
	return s.checker.CheckItems(prepared.changes.schema)
}
