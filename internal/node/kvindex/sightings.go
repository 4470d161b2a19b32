package kvindex

// sightingsMost bounds the keys of one of the two sets.
const sightingsMost = 4096

// sightings remembers which parts were read more than once lately: those are shared. Of two sets the older is dropped when the
// newer is full.
type sightings struct {
	newer, older map[partKey]bool
}

// again notes that a part was read, and reports whether it was so before.
func (s *sightings) again(key partKey) bool {
	if s.newer[key] {
		return true
	}
	if s.newer == nil || len(s.newer) >= sightingsMost {
		s.older = s.newer
		s.newer = make(map[partKey]bool)
	}
	s.newer[key] = true
	return s.older[key]
}
