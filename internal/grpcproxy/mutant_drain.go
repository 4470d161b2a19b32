//go:build mutant_drain

package grpcproxy

const (
	mutantRepeat = false
	mutantLost   = false
	mutantDrain  = true
)
