//go:build mutant_lost

package grpcproxy

const (
	mutantRepeat = false
	mutantLost   = true
	mutantDrain  = false
)
