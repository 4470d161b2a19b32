// Package brokerstate holds what a proxy knows of the brokers that it sends requests to: latencies
// and load reports, the prefill backlog and speed of model brokers, refusals, health, and the
// prediction of slow answers.
//
// It makes no decision about a request. Packages candidate and placement read this state to choose
// a broker, and the router reports to it how each call went. All latencies are scaled: divided by
// how many times as long as the usual request of the pool the call is expected to take.
package brokerstate
