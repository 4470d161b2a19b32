package routes

import (
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CommitPoint says when an attempt is committed (A6): from then on its response reaches the client, and
// no other attempt can replace it.
type CommitPoint uint8

// The points at which an attempt is committed.
const (
	AtMessage CommitPoint = iota // its first message; response headers wait for it
	AtHeaders                    // its response headers, for clients that wait for them before they send
	AtEnd                        // its end, as long as the response fits ResponseBufferBytes
)

// Condition is a condition on a call's metadata.
type Condition struct {
	Key, Value string
	AnyValue   bool // the key must be there, with whatever value
}

// ShardRule says which shard a call is for: FixedShard, if MetadataKey is empty.
type ShardRule struct {
	MetadataKey string // of the metadata that names the shard
	Hash        string // "": its value is the number; else fnv1a or xxh64 of it, modulo BlockCount
	BlockCount  int
	FixedShard  int
}

// Route is what an operator has configured for some calls. Its path is Service with Method, all methods
// of Service, or Prefix, which begins with a slash.
type Route struct {
	Name                string
	Service             string
	Method              string
	Prefix              string
	Metadata            []Condition // that must all hold
	QueryType           int
	DefaultCustomer     int    // where CustomerMetadata names none
	CustomerMetadata    string // key of the metadata that names the customer
	Shard               ShardRule
	AffinityMetadata    string  // key of the metadata by which calls prefer the same servers
	DefaultTimeout      float64 // ms, for calls without grpc-timeout
	MaxTimeout          float64 // ms, for all calls
	MaxMessageBytes     int     // either way
	RetryBufferBytes    int     // of the request, kept for further attempts
	ResponseBufferBytes int     // of the response, kept back with AtEnd
	CommitPoint         CommitPoint
	WorkHint            float64 // ms; 0: none
	// RejectedUnprocessed has a bit for each status that servers give on this route only to calls that
	// they have not processed.
	RejectedUnprocessed uint32
}

// Lookup returns the first value of a call's metadata with a key in lower case.
type Lookup func(key string) (value string, found bool)

// pattern returns a route's path, and whether a call's path must be equal to it.
func (r *Route) pattern() (path string, exact bool) {
	switch {
	case r.Service != "" && r.Method != "":
		return "/" + r.Service + "/" + r.Method, true
	case r.Service != "":
		return "/" + r.Service + "/", false
	}
	return r.Prefix, false
}

// matchesMetadata reports whether all conditions hold.
func (r *Route) matchesMetadata(metadata Lookup) bool {
	for _, condition := range r.Metadata {
		value, found := metadata(condition.Key)
		if !found || !condition.AnyValue && value != condition.Value {
			return false
		}
	}
	return true
}

// disjoint reports whether no call can match both routes, as they want one key to have two values.
func disjoint(a, b *Route) bool {
	for _, x := range a.Metadata {
		for _, y := range b.Metadata {
			if x.Key == y.Key && !x.AnyValue && !y.AnyValue && x.Value != y.Value {
				return true
			}
		}
	}
	return false
}

// ShardOf returns a call's shard, of so many shards, or an error for the client.
func (r *Route) ShardOf(metadata Lookup, shards int) (int, error) {
	rule := &r.Shard
	if rule.MetadataKey == "" {
		return rule.FixedShard, nil
	}
	value, found := metadata(rule.MetadataKey)
	if !found {
		return 0, fmt.Errorf("no metadata %s, which tells the shard", rule.MetadataKey)
	}
	if rule.Hash != "" {
		sum := Hash(rule.Hash, decodeBinary(rule.MetadataKey, value))
		return int(sum % uint64(max(rule.BlockCount, 1))), nil
	}
	shard, err := strconv.Atoi(value)
	if err != nil || shard < 0 || shard >= shards {
		return 0, fmt.Errorf("metadata %s is no shard from 0 to %d", rule.MetadataKey, shards-1)
	}
	return shard, nil
}

// AffinityHash returns the hash by which a call prefers servers, or 0 if it prefers none.
func (r *Route) AffinityHash(metadata Lookup) uint64 {
	if r.AffinityMetadata == "" {
		return 0
	}
	value, found := metadata(r.AffinityMetadata)
	if !found {
		return 0
	}
	return Hash(hashFNV1a, decodeBinary(r.AffinityMetadata, value))
}

// The hashes that an operator can name. Their values are the published ones, so that a key keeps its
// block from one release to the next.
const (
	hashFNV1a = "fnv1a"
	hashXXH64 = "xxh64"
)

// Hash returns the XXH64 of a value with seed 0 for the name xxh64, else its 64-bit FNV-1a.
func Hash(name, value string) uint64 {
	if name == hashXXH64 {
		return xxhash.Sum64String(value)
	}
	h := fnv.New64a()
	h.Write([]byte(value))
	return h.Sum64()
}

// decodeBinary decodes binary metadata, whose key ends with -bin: the same bytes are the same key,
// padded or not. A value that isn't base64 stays as it is.
func decodeBinary(key, value string) string {
	if !strings.HasSuffix(key, "-bin") {
		return value
	}
	if b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(value, "=")); err == nil {
		return string(b)
	}
	return value
}
