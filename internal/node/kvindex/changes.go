package kvindex

import "kestrelspread/internal/node/nodepb"

// Changes in a message are delta encoded: an empty holder name or a salt of 0 means the same value as in
// the preceding change. A change with part 0 applies to the holder as a whole, and its token count is one
// of the codes below.
const (
	entireHolder = uint64(0) // part number: the change applies to the holder, not to one part
	cacheLost    = uint32(0) // token count with entireHolder: the holder lost everything announced earlier
	storeAlive   = uint32(1) // token count with entireHolder: the store has answered a call
)

// resetChange returns a change that tells subscribers that a holder has lost its cache.
func resetChange(name string) *nodepb.IndexChange {
	return &nodepb.IndexChange{Instance: name, Part: entireHolder, Tokens: cacheLost}
}

// aliveChange returns a change that tells subscribers that a store has answered a call.
func aliveChange(name string) *nodepb.IndexChange {
	return &nodepb.IndexChange{Instance: name, Part: entireHolder, Tokens: storeAlive}
}

// appendChanges appends one delta-encoded change per key. The keys must be sorted by holder and salt;
// tokens returns the token count to announce for a key. A part whose number equals entireHolder would be
// read as a change of the whole holder, so it is left out.
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

// forEachChange decodes the changes of an update and calls apply for each. Changes that precede the
// first holder name are malformed and skipped.
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
