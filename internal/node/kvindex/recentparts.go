package kvindex

// maxRecentParts bounds the keys of one of the two sets.
const maxRecentParts = 4096

// recentParts remembers which parts were read more than once lately: those are shared. Of two sets the older is dropped when the
// newer is full.
type recentParts struct {
	newer, older map[partKey]bool
}

// recordAndTest notes that a part was read, and reports whether it was so before.
func (s *recentParts) recordAndTest(key partKey) bool {
	if s.newer[key] {
		return true
	}
	if s.newer == nil || len(s.newer) >= maxRecentParts {
		s.older = s.newer
		s.newer = make(map[partKey]bool)
	}
	s.newer[key] = true
	return s.older[key]
}
