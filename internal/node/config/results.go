package config

import (
	"fmt"
	"strings"

	"kestrelspread/internal/node/nodepb"
)

// maxReasonBytes bounds the text of a result: it may contain names that the operator chose.
const maxReasonBytes = 1024

// takenResult is the result of a command that is in force since the entry at index.
func (s *State) takenResult(index, version uint64) *nodepb.CommandResult {
	return &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN, Index: index, Version: version}
}

// rejection is the result of a command that is not taken. It carries the current index and version.
func (s *State) rejection(code nodepb.ResultCode, text string) *nodepb.CommandResult {
	return &nodepb.CommandResult{Code: code, Text: text, Index: s.index, Version: s.document.version}
}

func (s *State) invalidResult(err error) *nodepb.CommandResult {
	reason := reasonOf(err)
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + " ..."
	}
	return s.rejection(nodepb.ResultCode_INVALID, reason)
}

func (s *State) tooLargeResult(size int) *nodepb.CommandResult {
	text := fmt.Sprintf("the configuration would have %d bytes; these machines hold %d", size, s.sizeLimit)
	return s.rejection(nodepb.ResultCode_TOO_LARGE, text)
}

func (s *State) conflictResult(request *nodepb.ConfigChange) *nodepb.CommandResult {
	text := fmt.Sprintf("based on version %d; version %d is current", request.GetBaseVersion(), s.document.version)
	return s.rejection(nodepb.ResultCode_CONFLICT, text)
}
