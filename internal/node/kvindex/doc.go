// Package kvindex knows which model broker, and which KV store, caches which parts of prompts under
// which cache salt. It isn't the choice of a broker (package routing), and it does no I/O: package
// feed makes the calls.
//
// Three state machines share the work:
//
//   - Home runs on the home node of a (service, zone): it long-polls the cache events of that zone's
//     brokers and stores, one call at a time and about one a second each, and broadcasts the
//     changes to the subscribers once a second;
//   - Subscriber runs on every proxy: it applies the broadcasts, and requests those that it missed;
//   - Index answers the router: which holders cache how much of a prompt.
//
// # Invariants
//
// The index is a hint. Events arrive late and some never do, a broker may have evicted a part
// meanwhile, and a wrong hint costs the prefill of one part. So nothing is resynchronised after a gap
// in the events: entries just age out. What is never wrong is the salt: it stands for model, version
// and tenant, so that an entry can't stand for memory that a request must not use.
//
// Subscribers apply the updates of one epoch in the order of their sequence, without a gap. A higher
// epoch replaces a lower one: its first update is a snapshot.
//
// # Bounds
//
// Index holds a fixed number of records and evicts by the CLOCK algorithm. A home broadcasts at most
// HomeOptions.BytesPerSecond for each topic, first the parts that were seen more than once, as they
// are shared. Parts of fewer than HomeOptions.MinTokens are left out.
//
// # Next step: shards by prefix
//
// With tens of millions of cached blocks no node can hold or receive all of them. They can be divided
// by the first part of a prompt, as every part is looked up together with the parts before it. Shards
// by the hash of the first part, each at a node chosen by rendezvous hashing within the zone, keep
// the look-ups of a prompt at one place. Homes then send each change to its shard in place of all
// proxies; a proxy asks the shard for prompts whose parts it has not seen lately and caches the answer
// for seconds, as the rendezvous order already names the broker for all others. What a node sends and
// holds then follows from the prompts that it serves. The messages stay: IndexUpdate towards the
// shard, IndexPoll with the parts asked for.
//
// Source: PROTOCOL.md, "KV cache"; RULES.md, "Model brokers" (STALE, WALL).
package kvindex
