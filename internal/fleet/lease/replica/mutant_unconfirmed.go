//go:build mutant_unconfirmed

package replica

const (
	mutantUnconfirmed = true
)
