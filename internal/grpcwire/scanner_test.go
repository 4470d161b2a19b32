package grpcwire

import (
	"math/rand/v2"
	"testing"
)

func TestScannerFindsMessagesInAnyFragments(t *testing.T) {
	body := []byte{0, 0, 0, 0, 3, 'a', 'b', 'c', 1, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'x'}
	for range 300 {
		var m MessageScanner
		for rest := body; len(rest) > 0; {
			n := 1 + rand.IntN(len(rest))
			if wrong := m.Feed(rest[:n], 3); wrong != ScanOK {
				t.Fatal(wrong)
			}
			rest = rest[n:]
		}
		if m.CompleteMessages != 3 || !m.AtBoundary() {
			t.Fatal(m)
		}
	}
	var m MessageScanner
	if m.Feed(body[:8], 2) != MessageOverLimit {
		t.Error("over the limit")
	}
	m = MessageScanner{}
	if m.Feed([]byte{2}, 9) != InvalidFlag {
		t.Error("a wrong flag")
	}
	m = MessageScanner{}
	if m.Feed(body[:6], 9); m.AtBoundary() {
		t.Error("half a message")
	}
}
