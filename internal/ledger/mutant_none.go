//go:build !mutant_merge

package ledger

// A mutant: TestMutantMergeIsFound shows that the tests find it.
const mutantMerge = false
