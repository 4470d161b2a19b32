// Package fleet starts a small router fleet on loopback: real node processes, simulated brokers, an operator and clients. It
// kills, freezes, stops and starts the processes that it started itself, records at the clients, the brokers and the operator
// what became of each request, and checks the rules of RULES.md on these records.
//
// Every machine has an address of its own in 127.0.0.0/8, and all have the same ports, as on a platform. The package injects
// faults into processes alone; for faults of the network see package links.
package fleet
