package simwire

// Codes of the records from the simulator.
const (
	eventProbeResult  = 1000 // a health check has ended
	eventAckFirst     = 1010 // ignored
	eventTeardown     = 1020 // the aggregator was killed
	eventUpdate       = 1030 // the server list changed, or asking for it failed
	eventEnlist       = 1040 // the aggregator starts with these settings
	eventFor          = 1050 // the following records are for this aggregator
	eventLapsed       = 1060 // a client stopped waiting for its search
	eventInbound      = 1070 // a search arrived, or a shard request of one
	eventPeer         = 1080 // message from another aggregator; ignored
	eventSnapshotRows = 1090 // the rows of a server list, to which Update records refer
	eventDone         = 1100 // an attempt has ended
	eventBell         = 1110 // the wake-up that was asked for is due
)

// Codes of the records in a reply.
const (
	decisionLetGo         = 1000 // close the idle connections to a server
	decisionPushBack      = 1010 // refuse a search
	decisionRemind        = 1020 // wake the policy up after a time
	decisionFatal         = 1030 // the policy panicked
	decisionSoundOut      = 1050 // check the health of a server
	decisionReportFailure = 1060 // fail a search
	decisionFrom          = 1070 // the following records are from this aggregator
	decisionMerge         = 1080 // answer a search
	decisionCancel        = 1100 // cancel an attempt
	decisionKeepInformed  = 1110 // subscribe to the server list
	decisionTrace         = 1120 // log line
	decisionRelay         = 1130 // send an attempt
)

// eventNames names the events that are for one aggregator, for errors.
var eventNames = map[uint16]string{
	eventProbeResult: "ProbeResult", eventAckFirst: "AckFirst", eventTeardown: "Teardown", eventUpdate: "Update", eventEnlist: "Enlist",
	eventLapsed: "Lapsed", eventInbound: "Inbound", eventPeer: "Peer", eventDone: "Done", eventBell: "Bell",
}

// Kinds of an Update record.
const (
	updateChanges = 0 // the list holds only the servers that changed
	updateFailed  = 3 // asking for the list failed
)

// States of a server in a row; the other ones are ready.
const (
	rowDraining = 1
	rowGone     = 3
)

// hasWorkHint is the bit of an Inbound record that is set if its work is given.
const hasWorkHint = 1

// probeSucceeded is the result in a ProbeResult record of a successful health check.
const probeSucceeded = 10
