package llmbroker

import (
	"encoding/json"
	"net"
	"net/http"
)

// Store caches blocks of prompts that brokers save to it (Kv-Save).
type Store struct {
	kvCache *kvAPI
	server  *http.Server
	address string
}

// StartStore starts a store at listen, "IP:port" or "IP:0".
func StartStore(listen string, capacityTokens, maxConcurrency int) (*Store, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	store := &Store{kvCache: newKVAPI(capacityTokens, maxConcurrency), address: listener.Addr().String()}
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// Address is the address that the store listens on, for kvStoreAddr.
func (s *Store) Address() string { return s.address }

// UsedTokens is the number of cached tokens.
func (s *Store) UsedTokens() int { return s.kvCache.blocks.usedTokens() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case s.kvCache.serves(r.URL.Path):
		s.kvCache.ServeHTTP(w, r)
	case r.URL.Path == pathSave:
		var saved savedBlocks
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&saved); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.kvCache.blocks.use(saved.Salt, saved.Model, saved.Blocks)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
