//go:build !mutant_repeat && !mutant_lost && !mutant_drain

package grpcproxy

// Defects that build tags plant, so that TestPlantedDefects sees whether the random scripts find them.
const (
	mutantRepeat = false // the engine isn't asked whether an attempt may be committed
	mutantLost   = false // a status is not sent
	mutantDrain  = false // the pool isn't notified of draining servers
)
