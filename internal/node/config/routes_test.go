package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

// routeTable compiles routes given as "host prefix", which also is the name of each.
func routeTable(t testing.TB, hostsAndPrefixes ...string) *config.RouteTable {
	t.Helper()
	var routes []string
	for _, hostAndPrefix := range hostsAndPrefixes {
		host, prefix, _ := strings.Cut(hostAndPrefix, " ")
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"timeoutMs":1,"service":"s"}`, hostAndPrefix, host, prefix))
	}
	r := &replica{State: config.NewState(nil), t: t}
	r.mustTake(replaceCommand(0, `{"version":1,"routes":[`+strings.Join(routes, ",")+`],"services":[{"name":"s"}]}`))
	return r.Compile().Routes
}

// TestMatchFindsLongestPrefix. Source: PROTOCOL.md, "Requests".
func TestMatchFindsLongestPrefix(t *testing.T) {
	routes := routeTable(t, "a.example /", "a.example /p/", "a.example /p/q/", "a.example /p/q/r/s/", "b.example /p/",
		"Upper.Example /x/", "port.example:8080 /x/", "[2001:db8::1] /x/", "odd.example //", "odd.example /a%2Fb/", "deep.example /1/2/3/4/5/")
	for _, test := range []struct{ host, path, wanted string }{
		{"a.example", "/", "a.example /"},
		{"a.example", "/p", "a.example /"},
		{"a.example", "/p/", "a.example /p/"},
		{"a.example", "/p/x", "a.example /p/"},
		{"a.example", "/p/q", "a.example /p/"},
		{"a.example", "/p/q/", "a.example /p/q/"},
		{"a.example", "/p/q/r/s", "a.example /p/q/"},
		{"a.example", "/p/q/r/s/t/u/v/", "a.example /p/q/r/s/"},
		{"a.example", "/P/", "a.example /"},
		{"a.example", "/p/../p/q/", "a.example /p/"},
		{"a.example", "//p/q/", "a.example /"},
		{"a.example", "/%70/", "a.example /"},
		{"a.example", "/p?x=/q/", "a.example /"},
		{"a.example", "/p/?x=/q/r/s/", "a.example /p/"},
		{"a.example", "", ""},
		{"a.example", "*", ""},
		{"A.EXAMPLE", "/p/", "a.example /p/"},
		{"a.example:80", "/p/", "a.example /p/"},
		{"a.example:", "/p/", "a.example /p/"},
		{"upper.example", "/x/", "Upper.Example /x/"},
		{"port.example:8080", "/x/", "port.example:8080 /x/"},
		{"port.example:80", "/x/", ""},
		{"[2001:DB8::1]:443", "/x/y", "[2001:db8::1] /x/"},
		{"[2001:db8::1]", "/x/y", "[2001:db8::1] /x/"},
		{"b.example", "/", ""},
		{"b.example", "/p/q/", "b.example /p/"},
		{"c.example", "/p/", ""},
		{"", "/p/", ""},
		{":80", "/p/", ""},
		{strings.Repeat("a", 5000), "/p/", ""},
		{"odd.example", "//x", "odd.example //"},
		{"odd.example", "/a%2Fb/c", "odd.example /a%2Fb/"},
		{"odd.example", "/a/b/c", ""},
		{"deep.example", "/1/2/3/4/5/6/7/", "deep.example /1/2/3/4/5/"},
		{"deep.example", "/1/2/3/4/", ""},
	} {
		route := routes.Match(test.host, test.path)
		got := ""
		if route != nil {
			got = route.Name
		}
		assert.Equal(t, got, test.wanted, "%s %s", test.host, test.path)
	}
	assert.Equal(t, routes.Len(), 11)
}

func TestMatchDoesNotAllocate(t *testing.T) {
	routes := routeTable(t, "a.example /", "a.example /p/q/")
	allocations := testing.AllocsPerRun(100, func() { routes.Match("A.example:8080", "/p/q/r/s/t") })
	assert.Equal(t, allocations, 0.0)
}

func TestMatchBeforeAnyConfiguration(t *testing.T) {
	compiled := config.NewState(nil).Compile()
	assert.Assert(t, compiled.Routes.Match("a.example", "/") == nil)
	assert.Assert(t, compiled.Tenant("key") == nil)
	assert.Equal(t, compiled.Version, uint64(0))
}
