//go:build !plant_repeat && !plant_lost && !plant_drain

package grpcproxy

// Defects that build tags plant, so that TestPlantedDefects sees whether the random scripts find them.
const (
	plantRepeat = false // the engine isn't asked whether an attempt may be committed
	plantLost   = false // a status is not sent
	plantDrain  = false // the pool isn't notified of draining servers
)
