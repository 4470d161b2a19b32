//go:build !plant_unconfirmed

package replica

const (
	plantUnconfirmed = false
)
