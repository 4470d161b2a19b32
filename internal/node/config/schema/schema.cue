// The form of the items of a configuration. Source: PROTOCOL.md, "The operator's API" and "Requests". Every struct
// is open: fields that are not named here are kept and returned as they came. Members that are null were left out
// before the check. No constraint refers to another member of its item.

#Name: string & !=""

#Amount: number & >=0

#Route: {
	name:       #Name
	host:       #Name
	pathPrefix: =~"(?s)^/(.*/)?$"
	timeoutMs:  number & >0

	kind?:            string
	targetLatencyMs?: #Amount
	priority?:        number
	service?:         string
	trafficSplit?: [...#WeightedService]
	maxAttempts?: #Amount
	public?:      bool
	sticky?:      bool
	resumable?:   bool
	gap_aim_ms?:  #Amount
	...
}

#WeightedService: {
	service: #Name
	weight?: #Amount
	...
}

#Service: {
	name: #Name

	healthCheck?:      string
	maxConnections?:   #Amount
	protocol?:         string
	tls?:              bool
	engine?:           #Engine
	kvStoreAddr?:      string
	zone?:             string
	kvCapacityTokens?: #Amount
	linkMbps?:         #Amount
	maxConcurrency?:   #Amount
	...
}

#Engine: {
	slots?:            #Amount
	kvCapacityTokens?: #Amount
	kvTokenBytes?:     #Amount
	linkMbps?:         #Amount
	stride?:           #Amount
	maxConcurrency?:   #Amount
	models?: [...#Model]
	...
}

#Model: {
	name: #Name
	...
}

#Tenant: {
	name: #Name

	apiKeys?: [...#Name]
	priority?: number
	isolated?: bool
	...
}

#Limits: {
	maxHeaderBytes?:  #Amount
	maxBodyBytes?:    #Amount
	headerTimeoutMs?: #Amount
	idleTimeoutMs?:   #Amount
	...
}
