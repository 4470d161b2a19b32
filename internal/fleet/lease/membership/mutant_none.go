//go:build !mutant_byname

package membership

// mutantByName is a planted defect, behind a build tag: TestPlantedDefects of
// internal/standin/leasesim shows that it is found.
const mutantByName = false
