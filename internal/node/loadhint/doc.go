// Package loadhint tells proxies what the others have just sent to model brokers, so that a broker's queue is known before its
// next answer tells of it, and a prompt is not read by two brokers at once.
//
// A proxy sends its hints to the relay of its zone. The relay collects what comes from its zone and from the other relays, and
// passes it on in batches: to the proxies of its zone, and what came from its zone to the other relays. So a hint crosses
// from a zone to another once, and a proxy hears from one node, whatever the size of the fleet.
//
// Hints are neither acknowledged nor repeated: a lost one costs quality alone. A relay passes on HintsPerSecond at most; of more
// it picks some by chance and raises what they say in proportion.
package loadhint
