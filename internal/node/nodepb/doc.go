// Package nodepb has the messages between the nodes of the router fleet, and the records of a
// voter's journal. It is generated from node.proto and holds no rules: those are with the packages
// that send and receive.
//
// Each message travels as one Envelope in one frame, see package wireproto. Durations are whole
// milliseconds; addresses are "IP:port" of a node's internal listener unless said otherwise.
//
// Invariant: numbers, types and cardinality of the fields never change, as nodes of two versions
// talk to one another and journals outlive a version. Names of messages and fields are neither on
// the wire nor on disk.
package nodepb
