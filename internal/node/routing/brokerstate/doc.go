// Package brokerstate is the state of the brokers that a proxy sends requests to, as far as the
// proxy knows it: latencies and load reports, the prefill backlog and the pace of a model broker,
// its refusals, its health, and the prediction of slow answers.
//
// It decides nothing of a request: packages candidate and placement look at this state to choose a
// broker, and the router reports to it how each call went. All latencies are scaled: divided by how
// much longer than the usual request of the pool the call is expected to take.
package brokerstate
