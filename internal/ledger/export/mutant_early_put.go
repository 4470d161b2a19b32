//go:build mutant_early_put

package export

const (
	mutantEarlyPut    = true
	mutantEarlyCursor = false
)
