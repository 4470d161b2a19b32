// Package fleetoperator simulates the operator of the router fleet: it sends configurations, updates and versions of weights to the
// nodes' control addresses by PROTOCOL.md ("The operator's API"), retains what was acknowledged, and checks that it can be read back.
package fleetoperator
