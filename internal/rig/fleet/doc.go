// Package fleet starts a small router fleet on loopback: real node processes, stand-in brokers, an operator and clients.
// It kills, freezes, stops and starts the processes that it started itself, counts at the clients, the brokers and the
// operator what became of each request, and checks the rules of RULES.md on these counts.
//
// Every machine has an address of its own in 127.0.0.0/8, and all have the same ports, as on a platform.
package fleet
