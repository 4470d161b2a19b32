//go:build plant_repeat

package grpcproxy

const (
	plantRepeat = true
	plantLost   = false
	plantDrain  = false
)
