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

func ctl(args ...string) (string, error) {
	c := command()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

// Operators see who owns what, move a duty, take one by force; whoever has not seen the latest token is refused.
func TestOperatorsSeeAndMoveDuties(t *testing.T) {
	_, voters, rules := singlevoter.Start(t, 600)
	at := voters[0].Addr
	idle := func() client.Job { return still{} }
	for _, name := range []string{"a.1", "b.1"} {
		n, err := client.New(client.Options{Name: name, Voters: voters, Config: rules, Jobs: map[string]func() client.Job{"close": idle}, Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		n.Start()
		defer n.Close(time.Second)
	}
	type duty struct {
		Name, Owner string
		Token       uint64
	}
	see := func() (d duty) {
		out, err := ctl("owner", "list", "--json", "--voters", at)
		var list []duty
		if err == nil && json.Unmarshal([]byte(out), &list) == nil && len(list) == 1 {
			return list[0]
		}
		return d
	}
	until := func(what string, ok func(d duty) bool) (d duty) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if d = see(); ok(d) {
				return d
			}
		}
		t.Fatalf("never: %s; %+v", what, d)
		return d
	}
	first := until("an owner", func(d duty) bool { return d.Owner != "" })
	// The second one may not have asked yet: a move to it is refused until it has.
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		var asked map[string]float64
		if out, err := ctl("owner", "instances", "--json", "--voters", at); err == nil && json.Unmarshal([]byte(out), &asked) == nil && len(asked) == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the two instances never asked")
		}
	}
	other := map[string]string{"a.1": "b", "b.1": "a"}[first.Owner]
	token := fmt.Sprint(first.Token)
	if out, err := ctl("owner", "move", "close", "--voters", at, "--to", other, "--token", fmt.Sprint(first.Token+7)); err == nil || !strings.Contains(err.Error(), "not the latest") {
		t.Error("a token that nobody has seen was taken:", out, err)
	}
	if out, err := ctl("owner", "move", "close", "--voters", at, "--to", other, "--token", token); err != nil {
		t.Fatal(out, err)
	}
	moved := until("it is moved", func(d duty) bool { return d.Owner == other+".1" })
	if _, err := ctl("owner", "release", "close", "--voters", at, "--token", token); err == nil {
		t.Error("the second operator undid what the first did, without having seen it")
	}
	if out, err := ctl("owner", "release", "close", "--voters", at, "--token", fmt.Sprint(moved.Token)); err != nil {
		t.Fatal(out, err)
	}
	until("another token", func(d duty) bool { return d.Token > moved.Token })
	for _, c := range []struct{ args, want string }{{"history close", "forced"}, {"voters", "votes"}, {"instances", "ms ago"}, {"show close", "token"}, {"list", "lease left"}} {
		out, err := ctl(append(append([]string{"owner"}, strings.Fields(c.args)...), "--voters", at)...)
		if err != nil || !strings.Contains(out, c.want) {
			t.Errorf("%s: %q is not in %s, %v", c.args, c.want, out, err)
		}
	}
	if _, err := ctl("owner", "show", "nothing", "--voters", at); err == nil {
		t.Error("a duty that is not there is shown")
	}
	if _, err := ctl("owner", "list", "--voters", "127.0.0.1:1", "--within", "300ms"); err == nil {
		t.Error("nobody answers, and no error")
	}
}

type still struct{}

func (still) Step(context.Context, *client.Grant) (time.Duration, error) {
	return 50 * time.Millisecond, nil
}
