package processfaults

import (
	"strings"

	"kestrelspread/internal/harness/clientfaults"
)

const (
	// groupClients is the clients of a group: few enough to leave the processor to the ordinary ones.
	groupClients = 20
	// strangerHead is a head that is well formed, of a request that no route takes, so that none reaches a broker.
	strangerHead     = "POST /none/ HTTP/1.1\r\nHost: none.example\r\nX-Kestrelspread-Request-Id: 5\r\n"
	strangerMaxBytes = 4 << 20
)

// groupBehaviours are what the clients of a group do.
var groupBehaviours = append(
	clientfaults.HTTPHeads(strings.Replace(strangerHead, "POST", "GET", 1)+"\r\n"),
	clientfaults.HTTPBodies(strangerHead, strangerMaxBytes)...)

// startClientGroup has clients that don't stay inside the limits connect to a node, whatever becomes of its process.
func (r *run) startClientGroup(fault Fault) func() {
	node, behaviour := r.node(fault.Node), groupBehaviours[fault.Peer%len(groupBehaviours)]
	r.logf("misbehaving clients at %s: %s", node.Name, behaviour.Name)
	return clientfaults.StartGroup(r.ctx, node.Front(), groupClients, behaviour).Stop
}
