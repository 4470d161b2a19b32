package rollout

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of the role and of the calls that its shell makes.
var Errors = errorx.NewNamespace("rollout")

// ErrNotSent says that no byte of an order's body left this node, so that the broker can't have
// taken it.
var ErrNotSent = Errors.NewType("not_sent")

func wasNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }
