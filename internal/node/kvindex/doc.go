// Package kvindex knows which model broker, and which store, keeps which parts of prompts under which cache salt.
//
// Three state machines without I/O share the work:
//
//   - Home runs on the node that is home of a (service, zone): it polls the events of that zone's brokers, at most one call
//     at a time and about one a second each, and spreads what changed to the subscribers once a second;
//   - Subscriber runs on every proxy: it applies what homes spread, and asks for what it missed;
//   - Index answers the router: who keeps how much of a prompt.
//
// The index is a hint. Events come late and some never do, a broker may have dropped a part meanwhile, and a wrong hint costs
// one part read again: so nothing is listed anew after a gap, entries just age. What is never wrong is the salt: it holds model,
// version and wall, so an entry can't stand for memory that a request must not use.
//
// # Bounds
//
// Index holds a fixed number of records and gives up those that were not used for longest. A home spreads at most
// HomeOptions.BytesPerSecond for each topic, parts first that were seen more than once, as they are shared; small parts
// (under HomeOptions.LeastTokens) are left out.
//
// # Next step: shards by prefix
//
// With tens of millions of kept blocks no node can hold or hear all. The unit that can be divided is the first part of a
// prompt: every part of a prompt is looked up together with the parts before it. Shards by the hash of the first part, each at
// a node chosen by a rendezvous hash within the zone, keep the lookups of a prompt at one place. Homes then send each change to its
// shard in place of all proxies; a proxy asks the shard for prompts whose parts it has not seen lately and keeps the
// answer for seconds, as the rendezvous order already names the broker for all others. What a node sends and holds then
// follows from the prompts that it serves. The messages stay: IndexUpdate towards the shard, IndexPoll with the parts asked for.
//
// Source: PROTOCOL.md, "KV cache"; RULES.md, "Model brokers" (STALE, WALL).
package kvindex
