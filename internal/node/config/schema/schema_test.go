package schema_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
)

func item(kind config.ItemKind, text string) config.SchemaItem {
	return config.SchemaItem{Kind: kind, Path: config.ItemPath{List: "items", Index: 3}, JSON: []byte(text)}
}

const routeHead = `"name":"r","host":"a.example","pathPrefix":"/p/","timeoutMs":1000`

var validItems = []config.SchemaItem{
	item(config.RouteItem, `{`+routeHead+`}`),
	item(config.RouteItem, `{`+routeHead+`,"kind":"streaming","targetLatencyMs":500,"priority":0,"service":"s","maxAttempts":2,"public":false,`+
		`"sticky":true,"resumable":true,"gap_aim_ms":250.5,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":1e1}]}`),
	item(config.RouteItem, `{`+routeHead+`,"kind":null,"trafficSplit":null,"priority":-1,"later":{"any":[1,null,{"x":"\u0000"}]},"_x":1,"#y":2}`),
	item(config.RouteItem, `{`+routeHead+`,"kind":"not-yet-known"}`),
	item(config.RouteItem, `{"name":"\"\\(x)\\\n\ud83d\ude00","host":"a","pathPrefix":"/","timeoutMs":0.001}`),
	item(config.RouteItem, `{"name":"r","host":"a","pathPrefix":"/a\nb/","timeoutMs":1E+3}`),
	item(config.ServiceItem, `{"name":"s"}`),
	item(config.ServiceItem, `{"name":"s","engine":{"slots":128.0,"linkMbps":550000.0,"models":[{"name":"m","adapters":["x"]}],"later":1}}`),
	item(config.ServiceItem, `{"name":"s","engine":null,"kvStoreAddr":"172.20.0.2:8387","zone":"z","tls":false}`),
	item(config.TenantItem, `{"name":"t","apiKeys":["k","l"],"priority":2,"isolated":true}`),
	item(config.TenantItem, `{"name":"t","apiKeys":[]}`),
	item(config.LimitsItem, `{}`),
	item(config.LimitsItem, `null`),
	item(config.LimitsItem, `{"maxHeaderBytes":16384,"maxBodyBytes":0,"headerTimeoutMs":2.5}`),
}

func TestValidItemsPass(t *testing.T) {
	checker := schema.NewChecker()
	for _, each := range validItems {
		assert.NilError(t, checker.CheckItems([]config.SchemaItem{each}), string(each.JSON))
	}
	for range 2 {
		assert.NilError(t, checker.CheckItems(validItems))
	}
}

func TestInvalidItemsAreReportedByPath(t *testing.T) {
	checker := schema.NewChecker()
	for _, test := range []struct {
		kind         config.ItemKind
		text, wanted string
	}{
		{config.RouteItem, `{"host":"a","pathPrefix":"/","timeoutMs":1}`, "items[3].name: is missing"},
		{config.RouteItem, `{"name":"r","pathPrefix":"/","timeoutMs":1}`, "items[3].host: is missing"},
		{config.RouteItem, `{"name":"r","host":"a","timeoutMs":1}`, "items[3].pathPrefix: is missing"},
		{config.RouteItem, `{"name":"r","host":"a","pathPrefix":"/","timeoutMs":null}`, "items[3].timeoutMs: is missing"},
		{config.RouteItem, `{"name":"","host":"a","pathPrefix":"/","timeoutMs":1}`, "items[3].name: "},
		{config.RouteItem, `{"name":"r","host":"a","pathPrefix":"/a","timeoutMs":1}`, "items[3].pathPrefix: "},
		{config.RouteItem, `{"name":"r","host":"a","pathPrefix":"a/","timeoutMs":1}`, "items[3].pathPrefix: "},
		{config.RouteItem, `{"name":"r","host":"a","pathPrefix":"/","timeoutMs":0}`, "items[3].timeoutMs: invalid value 0 (out of bound >0)"},
		{config.RouteItem, `{"name":"r","host":"a","pathPrefix":"/","timeoutMs":-3}`, "items[3].timeoutMs: "},
		{config.RouteItem, `{"name":"r","host":"a","pathPrefix":"/","timeoutMs":"3"}`, "items[3].timeoutMs: "},
		{config.RouteItem, `{` + routeHead + `,"public":1}`, "items[3].public: "},
		{config.RouteItem, `{` + routeHead + `,"trafficSplit":[{"service":"s","weight":1},{"service":"t","weight":-1}]}`, "items[3].trafficSplit[1].weight: "},
		{config.RouteItem, `{` + routeHead + `,"trafficSplit":[{"weight":1}]}`, "items[3].trafficSplit[0].service: "},
		{config.RouteItem, `{` + routeHead + `,"trafficSplit":[null]}`, "items[3].trafficSplit"},
		{config.RouteItem, `[]`, "items[3]: must be an object"},
		{config.ServiceItem, `{"name":"s","engine":{"models":[{}]}}`, "items[3].engine.models[0].name: "},
		{config.ServiceItem, `{"name":"s","tls":"no"}`, "items[3].tls: "},
		{config.TenantItem, `{"name":"t","apiKeys":[""]}`, "items[3].apiKeys[0]: "},
		{config.TenantItem, `{"name":"t","apiKeys":[null]}`, "items[3].apiKeys[0]: "},
		{config.LimitsItem, `{"maxBodyBytes":-1}`, "items[3].maxBodyBytes: "},
	} {
		for range 2 {
			err := checker.CheckItems([]config.SchemaItem{validItems[0], item(test.kind, test.text)})
			var invalid *config.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%s: %v", test.text, err)
			assert.Assert(t, strings.HasPrefix(invalid.Reason, test.wanted), "%s: %q", test.text, invalid.Reason)
		}
	}
}

// TestMoreValuesThanAreRemembered checks more different values than maxValidValues.
func TestMoreValuesThanAreRemembered(t *testing.T) {
	checker := schema.NewChecker()
	for i := range 5000 {
		text := fmt.Sprintf(`{"maxBodyBytes":%d}`, i)
		assert.NilError(t, checker.CheckItems([]config.SchemaItem{item(config.LimitsItem, text)}))
	}
}

// BenchmarkCheckItems checks the routes of a first configuration, the compilation of the schema
// included.
func BenchmarkCheckItems(b *testing.B) {
	const routes = 700
	items := make([]config.SchemaItem, routes)
	for i := range items {
		items[i] = item(config.RouteItem, fmt.Sprintf(`{"name":"r-%d","host":"host-%d.example","pathPrefix":"/lepu%d/","kind":"streaming",`+
			`"timeoutMs":6000,"targetLatencyMs":1000,"priority":1,"trafficSplit":[{"service":"s-%d","weight":90},{"service":"t","weight":10}],`+
			`"maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":250}`, i, i%100, i, i%30))
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := schema.NewChecker().CheckItems(items); err != nil {
			b.Fatal(err)
		}
	}
}
