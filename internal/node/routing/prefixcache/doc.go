// Package prefixcache knows where the parts of prompts are cached: from the index, which collects
// the reports of brokers and stores, and from what was sent to brokers recently. It names the
// source that a broker fetches cached parts from and the store that it saves parts to. It does not
// choose the broker.
package prefixcache
