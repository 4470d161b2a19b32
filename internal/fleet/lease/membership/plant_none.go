//go:build !plant_byname

package membership

// plantByName is a planted defect, behind a build tag: TestPlantedDefects of internal/standin/quorum shows that it is found.
const plantByName = false
