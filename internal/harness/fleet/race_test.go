//go:build race

package fleet

// raceFlags build nodes that look for data races too; they are found in their logs.
var raceFlags = []string{"-race"}
