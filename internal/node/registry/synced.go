package registry

// Synced reports whether this node has learnt what other nodes know, or has found that nobody knows anything. Until then it may
// know no more than the few brokers that it has heard itself.
func (r *Registry) Synced() bool { return r.synced }
