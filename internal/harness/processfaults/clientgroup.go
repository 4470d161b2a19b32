package processfaults

import (
	"strings"

	"kestrelspread/internal/harness/clientfaults"
)

const (
	// crowdClients is the clients of a crowd: few enough to leave the processor to the ordinary ones.
	crowdClients = 20
	// strangerHead is a head that is well formed, of a request that no route takes, so that none reaches a broker.
	strangerHead     = "POST /none/ HTTP/1.1\r\nHost: none.example\r\nX-Kestrelspread-Request-Id: 5\r\n"
	strangerMaxBytes = 4 << 20
)

// crowdBehaviours are what the clients of a crowd do.
var crowdBehaviours = append(
	clientfaults.HTTPHeads(strings.Replace(strangerHead, "POST", "GET", 1)+"\r\n"),
	clientfaults.HTTPBodies(strangerHead, strangerMaxBytes)...)

// startClientCrowd has clients that don't stay inside the limits connect to a node, whatever becomes of its process.
func (r *run) startClientCrowd(fault Fault) func() {
	node, behaviour := r.node(fault.Node), crowdBehaviours[fault.Peer%len(crowdBehaviours)]
	r.logf("crowd at %s: %s", node.Name, behaviour.Name)
	return clientfaults.StartCrowd(r.ctx, node.Front(), crowdClients, behaviour).Stop
}
