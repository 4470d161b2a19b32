// Package transport carries calls between voters, instances and operators, by grpc-go with the
// library's own types: each message is bytes in a BytesValue, raft's as the library marshals
// them, all others as JSON. It decides nothing: a message that is late, lost or of another group
// is for the reader to reject.
package transport

// The service and its methods. These are names on the wire.
const (
	serviceName = "kestrelspread.Owner"

	raftMethod    = "Raft"
	helloMethod   = "Hello"
	requestMethod = "Ask"
	submitMethod  = "Do"
	statusMethod  = "Look"
)

// groupIDBytes is the length of the group id before raft messages, big-endian.
const groupIDBytes = 8
