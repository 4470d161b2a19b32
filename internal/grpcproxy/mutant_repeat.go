//go:build mutant_repeat

package grpcproxy

const (
	mutantRepeat = true
	mutantLost   = false
	mutantDrain  = false
)
