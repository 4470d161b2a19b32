package client

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease"
)

func TestClientWithoutVotersIsAnError(t *testing.T) {
	_, err := New(Options{Name: "i", Config: lease.DefaultConfig, Log: zerolog.Nop()})
	if !errors.Is(err, ErrNoVoters) {
		t.Errorf("got %v, want %v", err, ErrNoVoters)
	}
}
