//go:build !plant_nofence

package fence

const plantNoFence = false
