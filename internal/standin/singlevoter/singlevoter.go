// Package singlevoter is one voter by itself, with a disk in memory, for tests of what asks voters.
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

// Start runs one until the test ends, and gives what instances need to find it.
func Start(t testing.TB, leaseMs float64) (v *voter.Server, voters []voter.Address, rules lease.Config) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0") // its number is kept by whoever listens there next
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	l.Close()
	rules = lease.ConfigForLease(leaseMs)
	rules.FailureBackoffMs = 100
	voters = []voter.Address{{Name: "v0", Addr: at}}
	v, err = voter.Start(voter.Options{Name: "v0", Listen: at, Dir: "voter", FS: vfs.NewMem(), Voters: voters, LeaseConfig: rules, TickInterval: 20 * time.Millisecond, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	return v, voters, rules
}
