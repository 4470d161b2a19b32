//go:build plant_unconfirmed

package desk

const (
	plantUnconfirmed = true
)
