// Package loadhint disseminates what each proxy has just sent to model brokers, so that the others know
// a broker's queue before its next response shows it, and a prompt is not read by two brokers at
// once. It is a state machine without I/O. It doesn't interpret hints: package routing does.
//
// A proxy sends its hints to the relay of its zone. The relay collects hints of its zone's proxies and
// of the other relays, and sends them on in batches: all of them to the proxies of its zone, those of
// its own zone to the other relays. So a hint crosses from one zone to another once, and a proxy
// receives from one node, whatever the size of the fleet.
//
// Invariants:
//
//   - A hint makes at most three hops (proxy, relay, relay, proxy): what arrives as TO_PROXY, or from
//     another relay, is never sent to a relay.
//   - While the nodes agree on the relays, each other proxy receives a hint once, and its sender doesn't.
//   - A relay sends each node at most MaxHintsPerSecond. If more are queued it sends a random sample,
//     whose loads are scaled up in proportion, so that the expected sum stays right.
//
// Hints are neither acknowledged nor repeated: a lost one costs quality alone.
package loadhint
