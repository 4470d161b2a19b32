package fencedir

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/lease/fence/http"
	"kestrelspread/internal/standin/receiver"
)

func effect(token uint64, key string) fence.Effect {
	return fence.Effect{Role: "close", Token: token, Key: key, Body: json.RawMessage(fmt.Sprintf(`{"by":%d}`, token))}
}

func open(t *testing.T, dir string) *Receiver {
	t.Helper()
	f, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The stale holder reads the directory, finds its token to be the highest, and is paused; the new
// holder writes; the stale one goes on and writes.
func TestPausedHolderWritesNothing(t *testing.T) {
	dir := t.TempDir()
	late, next := open(t, dir), open(t, dir)
	if done, err := late.Apply(effect(4, "a")); done || err != nil {
		t.Fatal(done, err)
	}
	paused := false
	late.beforeWrite = func() {
		if paused {
			return
		}
		paused = true
		if done, err := next.Apply(effect(5, "b")); done || err != nil {
			t.Fatal(done, err)
		}
	}
	if _, err := late.Apply(effect(4, "b")); !errors.Is(err, fence.ErrStaleToken) {
		t.Fatal("the stale holder wrote, or: ", err)
	}
	if _, err := late.Apply(effect(4, "c")); !errors.Is(err, fence.ErrStaleToken) {
		t.Fatal(err)
	}
	list, err := ReadVersions(dir)
	if err != nil || len(list) != 2 || string(list[1].Body) != `{"by":5}` {
		t.Fatal(list, err)
	}
}

// Two writers under one token (a call was lost and made again) do an effect once.
func TestRepeatedEffectCountsOnce(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir), open(t, dir)
	a.beforeWrite = func() {
		a.beforeWrite = nil
		if done, err := b.Apply(effect(4, "a")); done || err != nil {
			t.Fatal(done, err)
		}
	}
	if done, err := a.Apply(effect(4, "a")); !done || err != nil {
		t.Fatal(done, err)
	}
	// The next holder finds it done, and its token is stored all the same: the holder before it
	// must not come back.
	if done, err := open(t, dir).Apply(effect(6, "a")); !done || err != nil {
		t.Fatal(done, err)
	}
	if _, err := b.Apply(effect(5, "z")); !errors.Is(err, fence.ErrStaleToken) {
		t.Fatal(err)
	}
	if list, _ := ReadVersions(dir); len(list) != 2 || !list[1].TokenOnly || list[1].Body != nil {
		t.Fatal(list)
	}
	if _, err := b.Apply(fence.Effect{Role: "close", Token: 7, Key: "q", Body: []byte("{")}); err == nil {
		t.Fatal("half a body was accepted")
	}
}

func TestHTTPReceiverRejectsStaleTokens(t *testing.T) {
	r := receiver.NewFencedReceiver(false)
	defer r.Close()
	to := fencehttp.New(r.URL)
	for i, c := range []struct {
		token uint64
		key   string
		done  bool
		old   bool
	}{{3, "1", false, false}, {3, "1", true, false}, {5, "1", true, false}, {4, "2", false, true}, {5, "2", false, false}} {
		done, err := to.Apply(effect(c.token, c.key))
		if done != c.done || errors.Is(err, fence.ErrStaleToken) != c.old || err != nil && !c.old {
			t.Errorf("%d: done %v, %v", i, done, err)
		}
	}
	if p := r.Audit(); len(p.Violations) > 0 || p.Counted != 2 || p.Refused != 1 || r.StaleEffects() != 1 {
		t.Errorf("%+v", p)
	}
	// Any other reply is no answer: the effect is offered again.
	for _, says := range []string{`{"done":false,"token":2}`, `thanks`, `{}`} {
		bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(says)) }))
		if _, err := fencehttp.New(bad.URL).Apply(effect(5, "3")); err == nil || errors.Is(err, fence.ErrStaleToken) {
			t.Errorf("%s: %v", says, err)
		}
		bad.Close()
	}
	// The audit finds what a receiver without a fence lets through.
	open := receiver.NewFencedReceiver(true)
	defer open.Close()
	to = fencehttp.New(open.URL)
	to.Apply(effect(5, "1"))
	to.Apply(effect(4, "2"))
	if p := open.Audit(); len(p.Violations) == 0 {
		t.Error("a stale holder's effect counted, and the audit found nothing")
	}
}
