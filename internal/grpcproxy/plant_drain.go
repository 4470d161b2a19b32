//go:build plant_drain

package grpcproxy

const (
	plantRepeat = false
	plantLost   = false
	plantDrain  = true
)
