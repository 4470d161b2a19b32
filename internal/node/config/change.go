package config

import (
	"fmt"
	"strings"

	"kestrelspread/internal/node/config/rawjson"
	"kestrelspread/internal/node/nodepb"
)

// MaxBodyBytes bounds the body of a change, and a whole configuration, in any fleet: what it takes to bring a state to a node
// is bounded by transfer.MaxMessage. A fleet may bound them further by its machines, see State.SetLimit.
const MaxBodyBytes = 24 << 20

// preparedChange is a change of the configuration as read against the state's document. It is dropped with the next
// entry.
type preparedChange struct {
	digest   changeDigest
	previous *document
	next     *document
	changes  *changes
}

// checkConfig judges a change of the configuration: one that was taken is taken, whatever came since.
func (s *State) checkConfig(change *nodepb.ConfigChange) (*nodepb.CommandResult, bool) {
	body, err := compactBody(change)
	if err != nil {
		return s.invalidResult(err), false
	}
	digest := digestOf(change.GetReplace(), change.GetBaseVersion(), body)
	if known, ok := s.takenChanges.find(digest); ok {
		return s.takenResult(known.index, known.version), false
	}
	if change.GetBaseVersion() != s.document.version {
		return s.conflictResult(change), false
	}
	if s.prepared != nil && s.prepared.digest == digest {
		return nil, true // came again before its entry was committed
	}
	prepared, err := s.prepare(change, digest, body)
	if err != nil {
		return s.invalidResult(err), false
	}
	if size := max(len(change.GetBody()), prepared.next.renderedSize()); size > s.sizeLimit {
		return s.tooLargeResult(size), false
	}
	if err := s.checkPrepared(prepared); err != nil {
		return s.invalidResult(err), false
	}
	s.prepared = prepared
	return nil, true
}

// compactBody is the body of a change without white space, if it can be read whole.
func compactBody(change *nodepb.ConfigChange) ([]byte, error) {
	if len(change.GetBody()) > MaxBodyBytes {
		return nil, invalid("body", "longer than %d bytes", MaxBodyBytes)
	}
	body, err := rawjson.Compact(change.GetBody())
	if err != nil {
		return nil, invalid("body", "not readable: %s", reasonOf(err))
	}
	return body, nil
}

// prepare reads a change and checks what Apply needs as well: form and version.
func (s *State) prepare(change *nodepb.ConfigChange, digest changeDigest, body []byte) (*preparedChange, error) {
	parse := parseUpdate
	if change.GetReplace() {
		parse = parseReplacement
	}
	next, changes, err := parse(body, s.document)
	if err != nil {
		return nil, err
	}
	if next.version <= s.document.version {
		return nil, invalid(versionMember, "%d is not above the current one, %d", next.version, s.document.version)
	}
	if named := change.GetVersion(); named != 0 && named != next.version {
		return nil, invalid(versionMember, "%d in the body, %d beside it", next.version, named)
	}
	if next.renderedSize() > MaxBodyBytes {
		return nil, invalid("body", "the whole configuration is longer than %d bytes", MaxBodyBytes)
	}
	return &preparedChange{digest: digest, previous: s.document, next: next, changes: changes}, nil
}

func (s *State) checkPrepared(prepared *preparedChange) error {
	if err := checkRules(prepared.next, prepared.previous, prepared.changes); err != nil {
		return err
	}
	if s.checker == nil || len(prepared.changes.schema) == 0 {
		return nil
	}
	return s.checker.CheckItems(prepared.changes.schema)
}

// applyConfig carries a change of the configuration out. The checks between items are not repeated: the head made them.
func (s *State) applyConfig(change *nodepb.ConfigChange, prepared *preparedChange) *nodepb.CommandResult {
	body, err := compactBody(change)
	if err != nil {
		return s.invalidResult(err)
	}
	digest := digestOf(change.GetReplace(), change.GetBaseVersion(), body)
	if known, ok := s.takenChanges.find(digest); ok {
		return s.takenResult(known.index, known.version)
	}
	if change.GetBaseVersion() != s.document.version {
		return s.conflictResult(change)
	}
	if prepared == nil || prepared.digest != digest {
		if prepared, err = s.prepare(change, digest, body); err != nil {
			return s.invalidResult(err)
		}
	}
	s.document = prepared.next
	s.takenChanges.add(takenChange{digest: digest, version: s.document.version, index: s.index})
	return s.takenResult(s.index, s.document.version)
}

// maxReasonLength bounds the text of an answer, in bytes: it may hold names that the operator chose.
const maxReasonLength = 1024

func (s *State) invalidResult(err error) *nodepb.CommandResult {
	reason := reasonOf(err)
	if len(reason) > maxReasonLength {
		reason = strings.ToValidUTF8(reason[:maxReasonLength], "") + " ..."
	}
	return s.rejection(nodepb.ResultCode_INVALID, reason)
}

func (s *State) tooLargeResult(size int) *nodepb.CommandResult {
	text := fmt.Sprintf("the configuration would have %d bytes; these machines hold %d", size, s.sizeLimit)
	return s.rejection(nodepb.ResultCode_TOO_LARGE, text)
}

func (s *State) conflictResult(change *nodepb.ConfigChange) *nodepb.CommandResult {
	text := fmt.Sprintf("based on version %d; version %d is current", change.GetBaseVersion(), s.document.version)
	return s.rejection(nodepb.ResultCode_CONFLICT, text)
}
