//go:build !mutant_early_put && !mutant_early_cursor

package export

// Mutants: the model has to find each.
const (
	mutantEarlyPut    = false // a batch is offered before it is fixed
	mutantEarlyCursor = false // the cursor moves before the sink has the batch
)
