// Package prefixcache knows where the parts of prompts are cached: by the index of what brokers and
// stores report, and by what was sent to brokers just now. It names the source that a broker
// fetches parts from and the store that it saves them to. It doesn't choose the broker.
package prefixcache
