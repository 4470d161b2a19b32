//go:build plant_byname

package membership

// plantByName is a planted defect, behind a build tag: TestPlantedDefects of
// internal/standin/leasesim shows that it is found.
const plantByName = true
