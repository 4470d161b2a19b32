package diskfault

import (
	"maps"
	"slices"
)

// sortedNames gives the names in some folders once each, in order, so that a seed always does the same.
func sortedNames(folders ...map[string]*inode) []string {
	all := map[string]bool{}
	for _, folder := range folders {
		for name := range folder {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
