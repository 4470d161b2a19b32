// The form of the items of a configuration. Source: PROTOCOL.md, "The operator's API" and "Requests". Every struct
// is open: fields that are not named here are kept and returned as they came. A null stands for a field left out.

#Name: string & !=""

#Amount: number & >=0

#Route: {
	name:       #Name
	host:       #Name
	pathPrefix: =~"^/(.*/)?$"
	timeoutMs:  number & >0

	kind?:            null | string
	targetLatencyMs?: null | #Amount
	priority?:        null | number
	service?:         null | string
	trafficSplit?: null | [...#WeightedService]
	maxAttempts?: null | #Amount
	public?:      null | bool
	sticky?:      null | bool
	resumable?:   null | bool
	gap_aim_ms?:  null | #Amount
	...
}

#WeightedService: {
	service: #Name
	weight?: null | #Amount
	...
}

#Service: {
	name: #Name

	healthCheck?:      null | string
	maxConnections?:   null | #Amount
	protocol?:         null | string
	tls?:              null | bool
	engine?:           null | #Engine
	kvStoreAddr?:      null | string
	zone?:             null | string
	kvCapacityTokens?: null | #Amount
	linkMbps?:         null | #Amount
	maxConcurrency?:   null | #Amount
	...
}

#Engine: {
	slots?:            null | #Amount
	kvCapacityTokens?: null | #Amount
	kvTokenBytes?:     null | #Amount
	linkMbps?:         null | #Amount
	stride?:           null | #Amount
	maxConcurrency?:   null | #Amount
	models?: null | [...#Model]
	...
}

#Model: {
	name: #Name
	...
}

#Tenant: {
	name: #Name

	apiKeys?: null | [...#Name]
	priority?: null | number
	isolated?: null | bool
	...
}

#Limits: {
	maxHeaderBytes?:  null | #Amount
	maxBodyBytes?:    null | #Amount
	headerTimeoutMs?: null | #Amount
	idleTimeoutMs?:   null | #Amount
	...
}
