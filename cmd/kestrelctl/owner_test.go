package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/standin/singlevoter"
)

// ctl runs a command, and returns all that it printed.
func ctl(args ...string) (string, error) {
	c := command()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// leaseTimeout is how long a test waits for a lease to change.
const leaseTimeout = 20 * time.Second

// ownedRole is a role in the JSON output of owner list.
type ownedRole struct {
	Name, Owner string
	Token       uint64
}

// listRole returns the only role that owner list prints, or none.
func listRole(voter string) ownedRole {
	out, err := ctl("owner", "list", "--json", "--voters", voter)
	var roles []ownedRole
	if err == nil && json.Unmarshal([]byte(out), &roles) == nil && len(roles) == 1 {
		return roles[0]
	}
	return ownedRole{}
}

// waitForRole waits until the role meets a condition, and returns it.
func waitForRole(t *testing.T, voter, condition string, met func(role ownedRole) bool) ownedRole {
	t.Helper()
	var role ownedRole
	for end := time.Now().Add(leaseTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if role = listRole(voter); met(role) {
			return role
		}
	}
	t.Fatalf("never: %s; %+v", condition, role)
	return role
}

// waitForInstances waits until that many instances have asked for leases: a move to one that hasn't
// is rejected.
func waitForInstances(t *testing.T, voter string, count int) {
	t.Helper()
	for end := time.Now().Add(leaseTimeout); ; time.Sleep(20 * time.Millisecond) {
		var requestAges map[string]float64
		out, err := ctl("owner", "instances", "--json", "--voters", voter)
		if err == nil && json.Unmarshal([]byte(out), &requestAges) == nil && len(requestAges) == count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the %d instances never asked", count)
		}
	}
}

// startRoleFleet starts a voter and two instances, a.1 and b.1, that ask for the role "close"; it
// returns the voter's address.
func startRoleFleet(t *testing.T) string {
	t.Helper()
	_, voters, config := singlevoter.Start(t, 600)
	for _, name := range []string{"a.1", "b.1"} {
		instance, err := client.New(client.Options{Name: name, Voters: voters, Config: config,
			Jobs: map[string]func() client.Job{"close": func() client.Job { return idleJob{} }}, Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		instance.Start()
		t.Cleanup(func() { instance.Close(time.Second) })
	}
	return voters[0].Addr
}

// Operators see who holds a role's lease, transfer it and revoke it; whoever hasn't seen the latest
// token is rejected.
func TestOwnerMovesAndReleasesRolesByLatestToken(t *testing.T) {
	voter := startRoleFleet(t)
	first := waitForRole(t, voter, "an owner", func(role ownedRole) bool { return role.Owner != "" })
	waitForInstances(t, voter, 2)
	other := map[string]string{"a.1": "b", "b.1": "a"}[first.Owner]
	move := func(token uint64) (string, error) {
		return ctl("owner", "move", "close", "--voters", voter, "--to", other, "--token", fmt.Sprint(token))
	}
	release := func(token uint64) (string, error) {
		return ctl("owner", "release", "close", "--voters", voter, "--token", fmt.Sprint(token))
	}
	if out, err := move(first.Token + 7); err == nil || !strings.Contains(err.Error(), "not the latest") {
		t.Error("a token that nobody has seen was taken:", out, err)
	}
	if out, err := move(first.Token); err != nil {
		t.Fatal(out, err)
	}
	moved := waitForRole(t, voter, "it is moved", func(role ownedRole) bool { return role.Owner == other+".1" })
	if _, err := release(first.Token); err == nil {
		t.Error("the second operator undid what the first did, without having seen it")
	}
	if out, err := release(moved.Token); err != nil {
		t.Fatal(out, err)
	}
	waitForRole(t, voter, "another token", func(role ownedRole) bool { return role.Token > moved.Token })
	checkOwnerTables(t, voter)
}

// checkOwnerTables checks what the sub-commands print of a role that was revoked, and that they fail
// for an unknown role and where no voter answers.
func checkOwnerTables(t *testing.T, voter string) {
	t.Helper()
	for _, test := range []struct{ args, want string }{
		{"history close", "forced"}, {"voters", "votes"}, {"instances", "ms ago"}, {"show close", "token"}, {"list", "lease left"},
	} {
		args := append([]string{"owner"}, strings.Fields(test.args)...)
		out, err := ctl(append(args, "--voters", voter)...)
		if err != nil || !strings.Contains(out, test.want) {
			t.Errorf("%s: %q is not in %s, %v", test.args, test.want, out, err)
		}
	}
	if _, err := ctl("owner", "show", "nothing", "--voters", voter); err == nil {
		t.Error("a duty that is not there is shown")
	}
	if _, err := ctl("owner", "list", "--voters", "127.0.0.1:1", "--within", "300ms"); err == nil {
		t.Error("nobody answers, and no error")
	}
}

func TestOwnerRejectsVoterWithoutPort(t *testing.T) {
	_, err := ctl("owner", "list", "--voters", "127.0.0.1:1,nowhere")
	if err == nil || !strings.Contains(err.Error(), "--voters: address nowhere: missing port") {
		t.Error("a voter's address without a port was taken:", err)
	}
}

func TestOwnerClosesEachVoterOnce(t *testing.T) {
	flags := &ownerFlags{voters: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1"}}
	peers, closeAll, err := flags.dialVoters()
	if err != nil || len(peers) != 2 {
		t.Fatal(peers, err)
	}
	closeAll()
	for address, peer := range peers {
		if err := peer.Close(); err == nil {
			t.Error(address, "was still open")
		}
	}
}

// idleJob is a role's work that does nothing.
type idleJob struct{}

func (idleJob) Step(context.Context, *client.Grant) (time.Duration, error) {
	return 50 * time.Millisecond, nil
}
