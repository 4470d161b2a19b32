package fleetoperator

import (
	"errors"
	"fmt"
)

// The errors of this package; test for them with errors.Is.
var (
	// ErrRejected: the nodes rejected a change for good.
	ErrRejected = errors.New("fleetoperator: rejected")
	// ErrConflict: another version is current; it is an ErrRejected.
	ErrConflict = fmt.Errorf("%w: conflict", ErrRejected)
	// ErrUnclear: the change got no definite answer in time; it may or may not be in force.
	ErrUnclear = errors.New("fleetoperator: unclear")
	// ErrLost: what can be read back is not what was acknowledged.
	ErrLost = errors.New("fleetoperator: lost")
)
