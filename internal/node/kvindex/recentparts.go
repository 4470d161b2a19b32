package kvindex

// maxRecentParts bounds each of the two generations of a recentParts.
const maxRecentParts = 4096

// recentParts remembers which parts were seen lately, so that those seen again count as shared. It
// holds two generations: when the newer one is full it becomes the older one, and that is dropped.
type recentParts struct {
	newer, older map[partKey]bool
}

// checkAndRecord records that a part was seen, and reports whether it had been seen lately.
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
