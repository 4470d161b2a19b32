package kvindex

import "kestrelspread/internal/node/nodepb"

// Changes in a message are delta encoded: an empty holder or a salt of 0 stands for that of the change
// before. A change of part 0 concerns the holder as a whole.
const (
	entireHolder = uint64(0) // as part: the change concerns the holder
	cacheLost    = uint32(0) // as tokens of entireHolder: it has lost all that was announced before
	storeAlive   = uint32(1) // as tokens of entireHolder: a store has answered
)

// resetChange announces that a holder has lost its cache.
func resetChange(name string) *nodepb.IndexChange {
	return &nodepb.IndexChange{Instance: name, Part: entireHolder, Tokens: cacheLost}
}

// aliveChange announces that a store has answered.
func aliveChange(name string) *nodepb.IndexChange {
	return &nodepb.IndexChange{Instance: name, Part: entireHolder, Tokens: storeAlive}
}

// appendChanges appends the changes of parts, which are ordered by holder and salt. A part with the
// number of entireHolder can't be told apart from one and is left out.
func appendChanges(changes []*nodepb.IndexChange, keys []holderPart, tokens func(holderPart) uint32) []*nodepb.IndexChange {
	holder, salt := "", uint64(0)
	for _, key := range keys {
		if key.part == entireHolder {
			continue
		}
		change := &nodepb.IndexChange{Part: key.part, Tokens: tokens(key)}
		if key.holder != holder {
			holder, salt = key.holder, 0
			change.Instance = holder
		}
		if key.salt != salt {
			salt = key.salt
			change.Salt = salt
		}
		changes = append(changes, change)
	}
	return changes
}

// forEachChange decodes the changes of an update and calls apply for each. Changes before the first holder
// are malformed and skipped.
func forEachChange(update *nodepb.IndexUpdate, apply func(holder string, salt, part uint64, tokens uint32)) {
	holder, salt := "", uint64(0)
	for _, change := range update.Changes {
		if change.Instance != "" {
			holder, salt = change.Instance, 0
		}
		if change.Salt != 0 {
			salt = change.Salt
		}
		if holder != "" {
			apply(holder, salt, change.Part, change.Tokens)
		}
	}
}
