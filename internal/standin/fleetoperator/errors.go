package fleetoperator

import (
	"errors"
	"fmt"
)

// The errors of this package; test for them with errors.Is.
var (
	// ErrRefused: the nodes turned a change down for good.
	ErrRefused = errors.New("fleetoperator: refused")
	// ErrConflict: another version is current; it is an ErrRefused.
	ErrConflict = fmt.Errorf("%w: conflict", ErrRefused)
	// ErrUnclear: the change got no clear answer in time; it may or may not be in force.
	ErrUnclear = errors.New("fleetoperator: unclear")
	// ErrLost: what can be read back is not what was acknowledged.
	ErrLost = errors.New("fleetoperator: lost")
)
