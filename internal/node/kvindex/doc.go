// Package kvindex tracks which model brokers and KV stores cache which parts of prompts under which
// cache salt. A part is a section of a prompt, identified by a hash; a salt separates caches that must
// not be shared (package cachesalt); a holder is a broker or store that caches parts. The package does
// not choose brokers (package routing does) and does no I/O (package feed makes the calls).
//
// It consists of three state machines:
//
//   - Home runs on the home node of a (service, zone), called a topic: it long-polls the cache events of
//     the topic's brokers and stores, with one pending call to each and about one call per second, and
//     broadcasts the changes to the subscribers once a second;
//   - Subscriber runs on every proxy: it applies the broadcasts and requests those that it missed;
//   - Index tells the router which holders cache how much of a prompt.
//
// # Invariants
//
// Index entries are hints. Events arrive late or get lost, and a broker may have evicted a part since.
// A wrong hint costs only the prefill of one part, so nothing is resynchronised after a gap in the
// events: outdated entries are evicted eventually. The salt of an entry, in contrast, is always right. It
// identifies model, version and tenant, so that an entry never refers to cached data that a request must
// not use.
//
// Subscribers apply the updates of one epoch in the order of their sequence numbers, without a gap. A
// higher epoch replaces a lower one: its first update is a snapshot.
//
// # Bounds
//
// Index holds a bounded number of records and evicts by the CLOCK algorithm. A home broadcasts at most
// about HomeOptions.BytesPerSecond to each subscriber for each topic. Parts that were seen more than once
// count as shared and go first. Parts of fewer than HomeOptions.MinTokens tokens are left out.
//
// # Next step: shards by prefix
//
// With tens of millions of cached blocks no node can hold or receive all of them. The index can be
// sharded by the hash of a prompt's first part, since every part is looked up together with the parts
// before it: all look-ups of a prompt then go to one shard. Rendezvous hashing within the zone assigns
// each shard to a node. Homes send each change to its shard instead of to all proxies. A proxy queries
// the shard only for prompts whose parts it has not seen lately, and caches the answer for seconds; for
// all other prompts the rendezvous order already determines the broker. What a node sends and holds then
// depends on the prompts that it serves. The messages stay the same: IndexUpdate goes to the shard, and
// IndexPoll carries the requested parts.
//
// Source: PROTOCOL.md, "KV cache"; RULES.md, "Model brokers" (STALE, WALL).
package kvindex
