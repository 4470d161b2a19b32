package fleetoperator

import "github.com/joomcode/errorx"

// The errors of this package.
var (
	namespace = errorx.NewNamespace("fleetoperator")
	// Refused: the nodes turned a change down for good.
	Refused = namespace.NewType("refused")
	// Conflict: another version is current; it is a Refused.
	Conflict = Refused.NewSubtype("conflict")
	// Unclear: the change got no clear answer in time; it may or may not be in force.
	Unclear = namespace.NewType("unclear")
	// Lost: what can be read back is not what was acknowledged.
	Lost = namespace.NewType("lost")
)
