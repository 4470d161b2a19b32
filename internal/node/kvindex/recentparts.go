package kvindex

// maxRecentParts is the greatest number of parts in each of the two generations of a recentParts.
const maxRecentParts = 4096

// recentParts remembers which parts were seen lately, so that parts seen again count as shared. It holds
// two generations: when the newer one is full it replaces the older one, whose parts are forgotten.
type recentParts struct {
	newer, older map[partKey]bool
}

// checkAndRecord reports whether a part was seen lately, and records that it was seen now.
func (r *recentParts) checkAndRecord(key partKey) bool {
	if r.newer[key] {
		return true
	}
	if r.newer == nil || len(r.newer) >= maxRecentParts {
		r.older = r.newer
		r.newer = make(map[partKey]bool)
	}
	r.newer[key] = true
	return r.older[key]
}
