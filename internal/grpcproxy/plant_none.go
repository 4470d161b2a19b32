//go:build !plant_repeat && !plant_lost && !plant_drain

package grpcproxy

// Defects that tests plant to see that their checkers find them; see TestPlantedDefects. Off, they are compiled away.
const (
	plantRepeat = false // the module is not told of a commitment
	plantLost   = false // a status is not sent
	plantDrain  = false // the pool is not told of drains
)
