package diskfault

import (
	"maps"
	"slices"
)

// sortedNames returns the names in some directories once each, in order, so that random draws
// follow a fixed order.
func sortedNames(directories ...map[string]*inode) []string {
	all := map[string]bool{}
	for _, directory := range directories {
		for name := range directory {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
