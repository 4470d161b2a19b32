// Package singlevoter runs one voter by itself, with its disk in memory, for tests of clients and
// operators' commands. It says nothing of agreement between voters.
package singlevoter

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/voter"
)

const (
	tickInterval     = 20 * time.Millisecond
	failureBackoffMs = 100
)

// Start runs a voter with leases of so many ms until the test ends, and returns what clients need
// to find it.
func Start(t testing.TB, leaseMs float64) (server *voter.Server, voters []voter.Address, config lease.Config) {
	t.Helper()
	config = lease.ConfigForLease(leaseMs)
	config.FailureBackoffMs = failureBackoffMs
	addr := freeAddr(t)
	voters = []voter.Address{{Name: "v0", Addr: addr}}
	server, err := voter.Start(voter.Options{
		Name:         "v0",
		Listen:       addr,
		Dir:          "voter",
		FS:           vfs.NewMem(),
		Voters:       voters,
		LeaseConfig:  config,
		TickInterval: tickInterval,
		Log:          zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, voters, config
}

// freeAddr returns a loopback address that nobody listens at.
func freeAddr(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
