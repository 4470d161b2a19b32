// Package distribution brings the committed control state to every node, and tells each how old it is.
//
// Every node polls an upstream node and names the index that it holds; the upstream answers with what is missing, and pushes
// changes to who polled it lately. The tail of the chain is the upstream of the other machines of the core and of each
// zone's home; within a zone the nodes form a tree with the home at its root. An upstream that does not answer, or
// that has lost touch with the core itself, is passed over.
//
// The age of a state adds up on its way: each hop counts from the moment at which it asked, so that a node never takes its
// state for fresher than it is. Sources: docs/design/system.md, "Distribution"; RULES.md, "API keys" and "Configuration".
package distribution
