//go:build !mutant_byname

package membership

// mutantAdoptIDByName enables a deliberate defect by a build tag: a voter that lost its disk takes
// its old id. TestPlantedDefects in internal/standin/leasesim checks that the simulation detects it.
const mutantAdoptIDByName = false
