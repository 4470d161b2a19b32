package main

import (
	"context"
	"fmt"
	"maps"
	"net"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/transport"
)

// dialVoters returns the voters' peers by address, and a function that closes them all.
func (f *ownerFlags) dialVoters() (peers map[string]*transport.Peer, closeAll func(), err error) {
	dialed := map[string]*transport.Peer{}
	closeDialed := func() {
		for _, peer := range dialed {
			peer.Close()
		}
	}
	defer func() {
		if err != nil {
			closeDialed()
		}
	}()
	for _, address := range f.voters {
		if dialed[address] != nil { // named twice
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, nil, fmt.Errorf("--voters: %w", err)
		}
		peer, err := transport.Dial(address)
		if err != nil {
			return nil, nil, err
		}
		dialed[address] = peer
	}
	// The caller may add entries to its copy; each connection is still closed once.
	return maps.Clone(dialed), closeDialed, nil
}

// status asks all voters, and returns the statuses of those that answered by address, and the most
// up-to-date one: the leader's, or, where nobody leads, the one that has applied most of the log.
func (f *ownerFlags) status() (latest transport.Status, byAddress map[string]transport.Status, err error) {
	peers, closePeers, err := f.dialVoters()
	if err != nil {
		return latest, nil, err
	}
	defer closePeers()
	ctx, cancel := context.WithTimeout(context.Background(), f.within)
	defer cancel()
	type answer struct {
		address string
		status  transport.Status
		err     error
	}
	answers := make(chan answer, len(peers))
	for address, peer := range peers {
		go func() {
			status, err := peer.Status(ctx)
			answers <- answer{address, status, err}
		}()
	}
	byAddress = map[string]transport.Status{}
	var lastErr error
	for range peers {
		received := <-answers
		if received.err != nil {
			lastErr = received.err
			continue
		}
		byAddress[received.address] = received.status
		if latest.Name == "" || moreUpToDate(received.status, latest) {
			latest = received.status
		}
	}
	if len(byAddress) == 0 {
		return latest, nil, fmt.Errorf("no voter answers: %w", lastErr)
	}
	return latest, byAddress, nil
}

// confirmedStatus is the most up-to-date status, with a warning where no leader confirmed it.
func (f *ownerFlags) confirmedStatus(cmd *cobra.Command) (latest transport.Status, byAddress map[string]transport.Status, err error) {
	latest, byAddress, err = f.status()
	if err != nil {
		return latest, nil, err
	}
	warnUnlessConfirmed(cmd, latest)
	return latest, byAddress, nil
}

// moreUpToDate reports whether a status supersedes another: one that a leader confirmed goes before
// one that isn't, and else the higher applied index decides.
func moreUpToDate(candidate, current transport.Status) bool {
	if candidate.Confirmed != current.Confirmed {
		return candidate.Confirmed
	}
	return candidate.AppliedIndex > current.AppliedIndex
}

// submit has the leader commit a command. A voter names the leader by its name, and only addresses
// are known here, so the voters' names are asked for first.
func (f *ownerFlags) submit(command lease.Command) (result transport.CommandResult, err error) {
	peers, closePeers, err := f.dialVoters()
	if err != nil {
		return result, err
	}
	defer closePeers()
	ctx, cancel := context.WithTimeout(context.Background(), f.within)
	defer cancel()
	for address, peer := range maps.Clone(peers) {
		status, err := peer.Status(ctx)
		if err == nil && status.Name != "" && status.Name != address {
			peers[status.Name] = peer
		}
	}
	return transport.SubmitToLeader(ctx, peers, "", command)
}
