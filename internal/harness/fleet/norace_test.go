//go:build !race

package fleet

var raceFlags []string
