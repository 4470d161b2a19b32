//go:build plant_nofence

package fence

const plantNoFence = true // a planted defect
