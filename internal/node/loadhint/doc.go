// Package loadhint disseminates hints about the requests that each proxy has just sent to model brokers.
// This way the other proxies know the length of a broker's queue before its next response shows it, and
// two brokers don't prefill the same prompt at once. The package is a state machine without I/O. It doesn't
// interpret hints: package routing does.
//
// One proxy of each zone acts as the zone's relay. Every proxy sends its hints to the relay of its zone.
// The relay collects the hints of its zone's proxies and of the other relays, and forwards them in
// batches: all of them to the proxies of its zone, and those of its own zone to the other relays. So a
// hint is sent to each other zone once, and a proxy receives hints from one node only, whatever the size
// of the fleet.
//
// Invariants:
//
//   - A hint makes at most three hops (proxy, relay, relay, proxy): hints that arrive as TO_PROXY or from
//     another relay are never forwarded to a relay.
//   - While the nodes agree on the relays, every proxy except the sender receives a hint exactly once.
//   - A relay sends each node at most MaxHintsPerSecond hints per second. If more are queued it sends a
//     random sample with the loads scaled up in proportion, so that the expected sum of the loads stays
//     the same.
//
// Hints are neither acknowledged nor retransmitted: a lost hint only makes routing decisions less exact.
package loadhint
