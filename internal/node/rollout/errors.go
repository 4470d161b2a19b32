package rollout

import "github.com/joomcode/errorx"

// Errors is the namespace of errors of the duty and its shell.
var Errors = errorx.NewNamespace("rollout")

// ErrNotSent says that no byte of an order left this node, so that it can't have been taken.
var ErrNotSent = Errors.NewType("not_sent")

func wasNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }
