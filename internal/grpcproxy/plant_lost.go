//go:build plant_lost

package grpcproxy

const (
	plantRepeat = false
	plantLost   = true
	plantDrain  = false
)
