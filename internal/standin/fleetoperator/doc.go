// Package fleetoperator is a stand-in for the operator of the router fleet: it sends configurations, updates and names
// of new weights to the nodes' control addresses as PROTOCOL.md says ("The operator's API"), keeps what was
// acknowledged, and checks that it can be read back.
package fleetoperator
