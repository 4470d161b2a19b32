//go:build mutant_merge

package ledger

const mutantMerge = true
