package llmbroker

import (
	"encoding/json"
	"net"
	"net/http"
)

// Store keeps parts of prompts that brokers bring to it (Kv-Save).
type Store struct {
	kv     *kvAPI
	server *http.Server
	at     string
}

// StartStore serves a store at listen, "IP:port" or "IP:0".
func StartStore(listen string, capacityTokens, maxConcurrency int) (*Store, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	store := &Store{kv: newKVAPI(capacityTokens, maxConcurrency), at: listener.Addr().String()}
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// Address is where the store listens, for kvStoreAddr.
func (s *Store) Address() string { return s.at }

// UsedTokens is what it keeps now.
func (s *Store) UsedTokens() int { return s.kv.parts.usedTokens() }

// Close ends the store and drops what it kept.
func (s *Store) Close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler, for the calls of a store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case s.kv.serves(r.URL.Path):
		s.kv.ServeHTTP(w, r)
	case r.URL.Path == pathSave:
		var saved savedParts
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&saved); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.kv.parts.keep(saved.Salt, saved.Model, saved.Parts)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
