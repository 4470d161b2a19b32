//go:build mutant_early_cursor

package export

const (
	mutantEarlyPut    = false
	mutantEarlyCursor = true
)
