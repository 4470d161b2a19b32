package rollout

import "errors"

// ErrNotSent says that no byte of an order's body left this node, so that the broker can't have
// taken it.
var ErrNotSent = errors.New("rollout: order not sent")

func wasNotSent(err error) bool { return errors.Is(err, ErrNotSent) }
