package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

// denial is the proxy's own answer to a request that is not forwarded.
type denial struct {
	status int
	reason string
	// closeConnection: what follows on the connection can't be trusted, or won't be read.
	closeConnection bool
}

// Denials. Clients don't retry after 400, 401, 404, 413 and 431.
var (
	deniedFraming    = &denial{http.StatusBadRequest, "malformed request", true}
	deniedVersion    = &denial{http.StatusHTTPVersionNotSupported, "HTTP/1.1 only", true}
	deniedTarget     = &denial{http.StatusBadRequest, "malformed request target", true}
	deniedID         = &denial{http.StatusBadRequest, "missing or malformed " + headerRequestID, true}
	deniedHeaderSize = &denial{http.StatusRequestHeaderFieldsTooLarge, "header too large", true}
	deniedBodySize   = &denial{http.StatusRequestEntityTooLarge, "body too large", true}
	deniedBody       = &denial{http.StatusBadRequest, "body cut short", true}
	deniedSlowBody   = &denial{http.StatusRequestTimeout, "body too slow", true}
	deniedRoute      = &denial{http.StatusNotFound, "no route", false}
	deniedKey        = &denial{http.StatusUnauthorized, "unknown key", false}
)

// maxRequestIDBytes bounds X-Kestrelspread-Request-Id.
const maxRequestIDBytes = 128

// intake is what is known of a client's request before it is forwarded.
type intake struct {
	id       string
	path     string // raw, without the query
	compiled *config.Compiled
	route    *config.Route
	service  string
	tenant   *config.Tenant // nil: none
	// unconfirmed: compiled may have been replaced by one that isolates the tenant.
	unconfirmed bool
	received    core.Time
	deadline    core.Time
}

// checkRequest checks what doesn't depend on the configuration, and extracts id and path.
func (in *intake) checkRequest(r *http.Request, framing framing) *denial {
	switch {
	case framing.malformed:
		return deniedFraming
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return deniedVersion
	case !strings.HasPrefix(r.RequestURI, "/"):
		return deniedTarget
	}
	ids := r.Header[headerRequestID]
	if len(ids) != 1 || !validRequestID(ids[0]) {
		return deniedID
	}
	in.id = ids[0]
	in.path, _, _ = strings.Cut(r.RequestURI, "?")
	return nil
}

// validRequestID reports whether an id is printable ASCII without spaces, within its bound.
func validRequestID(id string) bool {
	if len(id) == 0 || len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// checkLimits checks the size of the head and the stated size of the body.
func checkLimits(r *http.Request, framing framing, limits *config.Limits) *denial {
	if limits.MaxHeaderBytes > 0 && framing.headBytes > limits.MaxHeaderBytes+headSlackBytes {
		return deniedHeaderSize
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		return deniedBodySize
	}
	return nil
}

// headSlackBytes allows for what may or may not count as head: the request line and the line ends.
const headSlackBytes = 1 << 10

// resolve finds route, service and tenant under a configuration.
func (in *intake) resolve(r *http.Request, compiled *config.Compiled, match matcher, seed uint64) *denial {
	in.compiled, in.tenant = compiled, nil
	in.route = match(compiled, r.Host, in.path)
	if in.route == nil {
		return deniedRoute
	}
	if !in.route.Public {
		if why := in.resolveTenant(r.Header); why != nil {
			return why
		}
	}
	in.service = chooseService(in.route, seed, in.id)
	return nil
}

// resolveTenant finds the tenant that has the request's API key. Where the configuration has no list of tenants no key is required,
// but a key that an earlier list had was revoked with it. Source: RULES.md, "API keys".
func (in *intake) resolveTenant(header http.Header) *denial {
	switch {
	case in.compiled.TenantsInUse:
		in.tenant = in.compiled.Tenants[bearerKey(header)]
		if in.tenant == nil {
			return deniedKey
		}
	case in.compiled.KeysWithdrawn && carriesKey(header):
		return deniedKey
	}
	return nil
}

// matcher finds the route of a request in a configuration; nil: none.
type matcher func(compiled *config.Compiled, host, path string) *config.Route

// matchRoute is the matcher of a Proxy; tests replace it.
func matchRoute(compiled *config.Compiled, host, path string) *config.Route {
	return compiled.Routes.Match(host, path)
}

// bearerKey returns the key of Authorization: Bearer KEY; empty where there isn't exactly one such
// header.
func bearerKey(header http.Header) string {
	values := header["Authorization"]
	if len(values) != 1 {
		return ""
	}
	return parseBearer(values[0])
}

// carriesKey reports whether any Authorization header has an API key.
func carriesKey(header http.Header) bool {
	return slices.ContainsFunc(header["Authorization"], func(value string) bool { return parseBearer(value) != "" })
}

// parseBearer returns the key of a value of Authorization; empty: it has none.
func parseBearer(value string) string {
	scheme, key, found := strings.Cut(value, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// chooseService chooses a service of a split route by the weights. One request id always gives the
// same service.
func chooseService(route *config.Route, seed uint64, id string) string {
	if len(route.TrafficSplit) == 0 {
		return route.Service
	}
	var sum float64
	for _, part := range route.TrafficSplit {
		sum += max(part.Weight, 0)
	}
	point := fraction(seed, id) * sum
	chosen := ""
	for _, part := range route.TrafficSplit {
		if part.Weight <= 0 {
			continue
		}
		chosen = part.Service
		if point < part.Weight {
			break
		}
		point -= part.Weight
	}
	return chosen
}

// setDeadline sets the earlier of the client's deadline and the route's, both counted from the
// receipt.
func (in *intake) setDeadline(header http.Header) {
	allowed := milliseconds(in.route.TimeoutMs)
	if wait, ok := clientTimeout(header); ok && wait < allowed {
		allowed = wait
	}
	in.deadline = in.received + allowed
}

// clientTimeout returns how long the client waits, by X-Kestrelspread-Deadline-Ms, if it says so.
func clientTimeout(header http.Header) (time.Duration, bool) {
	text := strings.TrimSpace(firstValue(header, headerDeadline))
	if text == "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0) {
		return 0, false
	}
	return milliseconds(number), true
}

// milliseconds converts a number of the configuration to a duration, at most a day.
func milliseconds(number float64) time.Duration {
	const maxDuration = 24 * time.Hour
	if !(number < float64(maxDuration/time.Millisecond)) {
		return maxDuration
	}
	return time.Duration(number * float64(time.Millisecond))
}

// priority returns the priority in force: a tenant's takes precedence over its route's.
func (in *intake) priority() int {
	if in.tenant != nil && in.tenant.Priority != nil {
		return *in.tenant.Priority
	}
	return in.route.Priority
}

// routingRequest returns what the router needs to know.
func (in *intake) routingRequest(header http.Header, bodyBytes int) routing.Request {
	tokensIn, tokensOut := tokenCounts(header)
	return routing.Request{
		Route:         in.route,
		Service:       in.service,
		Tenant:        in.tenant,
		Urgency:       in.priority(),
		Received:      in.received,
		Deadline:      in.deadline,
		Model:         firstValue(header, headerModel),
		Parts:         promptParts(header),
		TokensIn:      tokensIn,
		TokensOut:     tokensOut,
		BodyBytes:     bodyBytes,
		ResumesStream: firstValue(header, headerLastEventID) != "",
		Unconfirmed:   in.unconfirmed,
	}
}
