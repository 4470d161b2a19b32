package grpcproxy

import (
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/routes"
)

// Pushback of a status: noRetry forbids the client to retry, as the request may have been executed or
// would fail again; noAdvice leaves it to the client.
const (
	noRetry  = -1.
	noAdvice = 0.
)

// rejection says why no search is made of a call.
type rejection struct {
	counter  *int64
	status   grpcwire.Status
	message  string
	pushback float64
}

// startCall makes a call of a client's request, or rejects it.
func (c *clientConn) startCall(s *h2.Stream, fields []h2.Field, end bool) {
	p := c.proxy
	p.Counters.Calls++
	if status := httpRejection(fields); status != "" {
		p.Counters.InvalidCalls++
		p.Counters.Errored++
		c.http2.Respond(s, []h2.Field{{Name: ":status", Value: status}}, true, nil)
		return
	}
	metadata := func(key string) (string, bool) { return grpcwire.FirstValue(fields, key) }
	k, shard, rejected := c.newCall(metadata)
	if rejected != nil {
		*rejected.counter++
		c.rejectCall(s, rejected.status, rejected.message, rejected.pushback)
		return
	}
	k.stream = s
	k.requestHeaders = append([]h2.Field(nil), fields...)
	k.metadataBytes = metadataSize(fields)
	p.metadataBytes += k.metadataBytes
	k.requestEnded = end
	s.UserData = k
	p.openCalls++
	p.callsByCustomer[k.customer]++
	invariant.Check(p.openCalls <= p.settings.Limits.MaxCalls, "no more calls are open than may be")
	k.armDeadline()
	k.start(shard, metadata)
}

// metadataSize is the size of a header list, as MaxMetadataBytes counts.
func metadataSize(fields []h2.Field) (bytes int) {
	for _, field := range fields {
		bytes += int(field.Size())
	}
	return bytes
}

// httpRejection returns the HTTP status for what can't be a gRPC call, or "".
func httpRejection(fields []h2.Field) string {
	method, _ := grpcwire.FirstValue(fields, ":method")
	contentType, _ := grpcwire.FirstValue(fields, "content-type")
	switch {
	case method != "POST":
		return "405"
	case !grpcwire.IsGRPCContentType(contentType):
		return "415"
	}
	return ""
}

// newCall checks a call's headers and this proxy's limits. It returns the call and its shard.
func (c *clientConn) newCall(metadata routes.Lookup) (*call, int, *rejection) {
	p := c.proxy
	path, _ := metadata(":path")
	route := p.settings.Routes.Find(path, metadata)
	if route == nil {
		return nil, 0, &rejection{&p.Counters.Unrouted, grpcwire.Unimplemented, "no route for " + path, noAdvice}
	}
	timeout, rejected := p.timeoutOf(route, metadata)
	if rejected != nil {
		return nil, 0, rejected
	}
	shard, err := route.ShardOf(metadata, p.shards)
	if err != nil {
		return nil, 0, &rejection{&p.Counters.InvalidCalls, grpcwire.InvalidArgument, err.Error(), noRetry}
	}
	customer := route.DefaultCustomer
	if route.CustomerMetadata != "" {
		if name, found := metadata(route.CustomerMetadata); found {
			customer = p.router.Customer(name)
		}
	}
	if rejected := p.checkLimits(customer); rejected != nil {
		return nil, 0, rejected
	}
	k := &call{
		proxy:    p,
		client:   c,
		route:    route,
		settings: p.settings,
		customer: customer,
		deadline: c.arrivedAt + timeout,
	}
	return k, shard, nil
}

// timeoutOf returns a call's timeout in ms.
func (p *Proxy) timeoutOf(route *routes.Route, metadata routes.Lookup) (float64, *rejection) {
	timeout := route.DefaultTimeout
	if value, found := metadata("grpc-timeout"); found {
		var ok bool
		timeout, ok = grpcwire.ParseTimeout(value)
		if !ok {
			return 0, &rejection{&p.Counters.InvalidCalls, grpcwire.InvalidArgument, "grpc-timeout can't be read", noRetry}
		}
	}
	timeout = min(timeout, route.MaxTimeout)
	if timeout <= finalStatusMargin {
		return 0, &rejection{&p.Counters.DeadlineExceeded, grpcwire.DeadlineExceeded, "no time is left", noAdvice}
	}
	return timeout, nil
}

// checkLimits rejects a call over a limit of this proxy. It has not begun anywhere, and a little later
// there may be capacity.
func (p *Proxy) checkLimits(customer int) *rejection {
	limits, counters := &p.settings.Limits, &p.Counters
	switch {
	case p.openCalls >= limits.MaxCalls:
		return &rejection{&counters.OverCallLimit, grpcwire.Unavailable, "too many calls are open", p.retryPushback()}
	case limits.MaxCallsPerCustomer > 0 && p.callsByCustomer[customer] >= limits.MaxCallsPerCustomer:
		return &rejection{&counters.OverCustomerLimit, grpcwire.ResourceExhausted,
			"too many calls of this customer are open", p.retryPushback()}
	case p.aboveSoftLimit(), p.metadataBytes > limits.MaxBufferedBytes/metadataDivisor:
		return &rejection{&counters.OverBufferLimit, grpcwire.Unavailable, "too much is held", p.retryPushback()}
	}
	return nil
}

// rejectCall ends a call of which no search was made.
func (c *clientConn) rejectCall(s *h2.Stream, status grpcwire.Status, message string, pushback float64) {
	counters := &c.proxy.Counters
	counters.Statuses[status]++
	if status == grpcwire.Unavailable || status == grpcwire.ResourceExhausted && pushback > 0 {
		counters.Shed++
	} else {
		counters.Errored++
	}
	fields := grpcwire.AppendTrailers(grpcwire.NewResponseHeaders(), status, message, pushback)
	c.http2.Respond(s, fields, true, nil)
	c.proxy.scheduleFlush(c)
}
