// Package operator reads the operator's own file: it checks it whole, against the published JSON Schema and then for
// what a schema can't say, and hands out typed settings part by part. Each finding names its path in the file (RFC 6901).
// It does no I/O: the text is the caller's to read.
package operator

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"kestrelspread/deploy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/fleet/shedding"
	"kestrelspread/internal/grpcproxy"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/routes"
)

// Finding is one thing that is wrong.
type Finding struct{ Path, Why string }

// String gives the path in the file and what is wrong there.
func (f Finding) String() string { return f.Path + ": " + f.Why }

// Findings are all that are wrong with a file, in the order of their paths.
type Findings []Finding

// Error gives all findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Settings are those of a file that has proved sound. A part that the file does not name is nil: it stays off.
type Settings struct {
	GRPC   *GRPC
	Ledger *Ledger
	Talk   *Talk
	Sites  bool // whole sites are watched; talk needs it
	Borne  bool // and what servers bear while they are full is learnt
	Order  *shedding.Weights
	Owner  *Owner
}

// Talk is what brokers tell each other of sites, where an installation allows it.
type Talk struct {
	Listen netip.AddrPort
	Join   []string
	Key    []byte
	Via    map[string]string // a peer's address, and that by which it is reached from here
}

// Owner is the fleet's work, which one instance at a time does.
type Owner struct {
	Listen, Folder string // a voter's; "": this broker is none
	Voters         []Voter
	Lease          float64 // ms
	Close          *Close
	Return         bool
	Drill          *Drill
}

// Voter is one of those who agree on owners, and where it is reached from here.
type Voter struct{ Name, Address string }

// Close is the duty of closing the fleet's periods.
type Close struct {
	Collect     []string // patterns of folders
	Expect      []string // instances
	Wait        float64  // ms
	Folder, URL string   // where statements go: one of them
	Every       float64  // ms
}

// Drill is duties to try owners out.
type Drill struct {
	URL   string
	Count int
	Every float64 // ms
	Marks int
}

// Ledger is the ledger of use. The zone is checked by who knows zones.
type Ledger struct {
	Folder, Instance, Zone string
	Every                  ledger.PeriodUnit
	Hours                  int
	Grace                  float64 // ms
	Export, URL            string  // a folder, a receiver's address; "": none
	Batch                  int     // entries
	ExportEvery            float64 // ms
	Keep                   float64 // ms for which entries that have left are kept; 0: for good
}

// GRPC is the gRPC front.
type GRPC struct {
	Listen netip.AddrPort
	Rules  *grpcproxy.Settings
}

var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(deploy.Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("urn:kestrelspread:operator", doc); err != nil {
		return nil, err
	}
	return c.Compile("urn:kestrelspread:operator")
})

// Read checks a file's text against the schema and the broker's own settings, which name the query types, customers and
// shards. The error is of type Findings where the file is at fault.
func Read(text []byte, set settings.Values) (*Settings, error) {
	schema, err := compiled()
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, Findings{{"/", "no JSON: " + err.Error()}}
	}
	if err := schema.Validate(doc); err != nil {
		var bad *jsonschema.ValidationError
		if !errors.As(err, &bad) {
			return nil, err
		}
		return nil, leaves(bad)
	}
	var f file
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, Findings{{"/", err.Error()}}
	}
	return f.settings(set)
}

var printer = message.NewPrinter(language.English)

// leaves gives what is wrong without the schema's way there.
func leaves(e *jsonschema.ValidationError) (list Findings) {
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) > 0 {
			for _, c := range e.Causes {
				walk(c)
			}
			return
		}
		path := "/" + strings.Join(e.InstanceLocation, "/")
		switch k := e.ErrorKind.(type) {
		case *kind.AdditionalProperties: // each by its own path: who misspells a name looks for that
			for _, name := range k.Properties {
				list = append(list, Finding{strings.TrimSuffix(path, "/") + "/" + name, "no such setting"})
			}
		default:
			list = append(list, Finding{path, e.ErrorKind.LocalizedString(printer)})
		}
	}
	walk(e)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Path < list[j].Path })
	return list
}

// file is the form of the text, once the schema has been kept.
type file struct {
	Schema string `json:"$schema"`
	GRPC   *grpcFile
	Sites  *struct{ Borne bool }
	Owner  *struct {
		Listen, Folder string
		Voters         []struct{ Name, Address string }
		Lease          *float64 `json:"lease-ms"`
		Duties         struct {
			Close *struct {
				Collect, Expect []string
				Wait            *float64 `json:"wait-ms"`
				Folder, URL     string
				Every           *float64 `json:"every-ms"`
			}
			Return *struct{}
			Drill  *struct {
				URL   string
				Count *int
				Every *float64 `json:"every-ms"`
				Marks *int
			}
		}
	}
	Order *struct {
		Types   [][]string
		Bulk    []string `json:"bulk-customers"`
		Retries float64
	}
	Talk *struct {
		Listen string
		Join   []string
		Key    string
		Via    map[string]string
	}
	Ledger *struct {
		Folder, Instance string
		Keep             float64 `json:"keep-days"`
		Period           struct {
			Every string
			Hours int
			Zone  string
			Grace *float64 `json:"grace-ms"`
		}
		Export *struct {
			Folder string
			URL    string
			Batch  *int
			Every  *float64 `json:"every-ms"`
		}
	}
}

type grpcFile struct {
	Listen  string
	Servers struct {
		PortOffset int               `json:"port-offset"`
		ByID       map[string]string `json:"by-id"`
	}
	Limits struct {
		Connections *int
		PerConn     *int     `json:"calls-per-connection"`
		Calls       *int     `json:"calls"`
		PerCustomer *int     `json:"calls-per-customer"`
		Held        *int     `json:"held-kb"`
		HeldPerConn *int     `json:"held-per-connection-kb"`
		Window      *int     `json:"window-kb"`
		Metadata    *int     `json:"metadata-kb"`
		Resets      *int     `json:"resets-per-second"`
		Controls    *int     `json:"controls-per-second"`
		Handshake   *float64 `json:"handshake-ms"`
		Idle        *float64 `json:"idle-ms"`
		Half        *float64 `json:"half-ms"`
		Stuck       *float64 `json:"stuck-ms"`
		Lag         *int     `json:"lag-kb"`
	}
	Channels struct {
		Most        *int
		Streams     *int
		Waiting     *int
		Connect     *float64 `json:"connect-ms"`
		Idle        *float64 `json:"idle-ms"`
		Backoff     *float64 `json:"backoff-ms"`
		BackoffMost *float64 `json:"backoff-most-ms"`
		Ping        *float64 `json:"ping-ms"`
		PingWait    *float64 `json:"ping-wait-ms"`
	}
	Routes []routeFile
}

type routeFile struct {
	Name  string
	Match struct {
		Service, Method, Prefix string
		Metadata                []struct {
			Key   string
			Value *string
		}
	}
	QueryType string `json:"query-type"`
	Customer  struct{ Name, Metadata string }
	Shard     struct {
		Fixed    int
		Metadata string
		Hash     string
		Blocks   int
	}
	About       string
	Timeout     *float64 `json:"timeout-ms"`
	TimeoutMost *float64 `json:"timeout-most-ms"`
	Message     *int     `json:"message-kb"`
	Repeat      *int     `json:"repeat-kb"`
	Hold        *int     `json:"hold-kb"`
	Commit      string
	Work        float64 `json:"work-ms"`
	Unseen      []string
}

func or[T any](v *T, missing T) T {
	if v == nil {
		return missing
	}
	return *v
}

const kb = 1 << 10

func (f *file) settings(set settings.Values) (*Settings, error) {
	s := &Settings{}
	var bad Findings
	if f.GRPC != nil {
		s.GRPC, bad = f.GRPC.settings(set)
	}
	s.Borne = f.Sites != nil && f.Sites.Borne
	if s.Sites = f.Sites != nil; !s.Sites && f.Talk != nil {
		bad = append(bad, Finding{"/talk", "there is nothing to tell without sites"})
	}
	if o := f.Owner; o != nil {
		w := &Owner{Listen: o.Listen, Folder: o.Folder, Lease: or(o.Lease, 3000), Return: o.Duties.Return != nil}
		s.Owner = w
		seen := map[string]bool{}
		for i, v := range o.Voters {
			path := "/owner/voters/" + strconv.Itoa(i)
			if _, err := netip.ParseAddrPort(v.Address); err != nil {
				bad = append(bad, Finding{path + "/address", fmt.Sprintf("no address: %q", v.Address)})
			}
			if seen[v.Name] {
				bad = append(bad, Finding{path + "/name", "there are two"})
			}
			seen[v.Name] = true
			w.Voters = append(w.Voters, Voter{v.Name, v.Address})
		}
		if n := len(o.Voters); n%2 == 0 {
			bad = append(bad, Finding{"/owner/voters", fmt.Sprintf("%d of them: an even number bears no more failures than one fewer", n)})
		}
		if (o.Listen == "") != (o.Folder == "") {
			bad = append(bad, Finding{"/owner", "a voter needs both listen and folder"})
		}
		if o.Listen != "" {
			if _, err := netip.ParseAddrPort(o.Listen); err != nil {
				bad = append(bad, Finding{"/owner/listen", fmt.Sprintf("no address: %q", o.Listen)})
			}
		}
		if w.Return && f.Sites == nil {
			bad = append(bad, Finding{"/owner/duties/return", "there is nothing to pace without sites"})
		}
		if c := o.Duties.Close; c != nil {
			w.Close = &Close{Collect: c.Collect, Expect: c.Expect, Wait: or(c.Wait, 3600e3), Folder: c.Folder, URL: c.URL, Every: or(c.Every, 2000)}
		}
		if d := o.Duties.Drill; d != nil {
			w.Drill = &Drill{URL: d.URL, Count: or(d.Count, 10), Every: or(d.Every, 1000), Marks: or(d.Marks, 10)}
		}
	}
	if o := f.Order; o != nil {
		values, kinds, customers := types(set)
		r := shedding.Config{RetryWeight: o.Retries}
		place := func(path, name string, among map[string]int, what string) int {
			at, known := among[name]
			if !known {
				bad = append(bad, Finding{"/order/" + path, fmt.Sprintf("the settings name no %s %q", what, name)})
			}
			return at
		}
		seen := map[int]string{}
		for i, names := range o.Types {
			var group []int
			for j, name := range names {
				path := fmt.Sprintf("types/%d/%d", i, j)
				k := place(path, name, kinds, "query type")
				if first, twice := seen[k]; twice {
					bad = append(bad, Finding{"/order/" + path, "stands at /order/" + first + " already"})
				}
				seen[k] = path
				group = append(group, k)
			}
			r.ShedFirst = append(r.ShedFirst, group)
		}
		for i, name := range o.Bulk {
			r.BulkCustomers = append(r.BulkCustomers, place("bulk-customers/"+strconv.Itoa(i), name, customers, "customer"))
		}
		if len(bad) == 0 {
			w := shedding.NewWeights(values, set.Count("customers"), r)
			s.Order = &w
		}
	}
	if t := f.Talk; t != nil {
		s.Talk = &Talk{Join: t.Join, Via: t.Via}
		var err error
		if s.Talk.Listen, err = netip.ParseAddrPort(t.Listen); err != nil || !s.Talk.Listen.Addr().Is4() {
			bad = append(bad, Finding{"/talk/listen", fmt.Sprintf("no address: %q", t.Listen)})
		}
		for i, j := range t.Join {
			if _, err := netip.ParseAddrPort(j); err != nil {
				bad = append(bad, Finding{fmt.Sprintf("/talk/join/%d", i), fmt.Sprintf("no address: %v", err)})
			}
		}
		for _, peer := range slices.Sorted(maps.Keys(t.Via)) {
			for _, at := range []string{peer, t.Via[peer]} {
				if a, err := netip.ParseAddrPort(at); err != nil || !a.Addr().Is4() {
					bad = append(bad, Finding{"/talk/via/" + peer, fmt.Sprintf("no address: %q", at)})
				}
			}
		}
		if t.Key != "" {
			if s.Talk.Key, err = hex.DecodeString(t.Key); err != nil || len(s.Talk.Key) != 16 && len(s.Talk.Key) != 24 && len(s.Talk.Key) != 32 {
				bad = append(bad, Finding{"/talk/key", "not 16, 24 or 32 bytes in hexadecimal digits"})
			}
		}
	}
	if l := f.Ledger; l != nil {
		s.Ledger = &Ledger{Folder: l.Folder, Instance: l.Instance, Zone: l.Period.Zone, Hours: max(l.Period.Hours, 1),
			Keep: l.Keep * 86400e3, Grace: or(l.Period.Grace, 60e3)}
		if x := l.Export; x != nil {
			s.Ledger.URL = x.URL
			s.Ledger.Export, s.Ledger.Batch, s.Ledger.ExportEvery = x.Folder, or(x.Batch, 1000), or(x.Every, 60e3)
			if x.Folder == l.Folder {
				bad = append(bad, Finding{"/ledger/export/folder", "is the ledger's own"})
			}
		}
		s.Ledger.Every = map[string]ledger.PeriodUnit{"hours": ledger.Hourly, "day": ledger.Daily, "month": ledger.Monthly}[l.Period.Every]
	}
	if len(bad) > 0 {
		sort.SliceStable(bad, func(i, j int) bool { return bad[i].Path < bad[j].Path })
		return nil, bad
	}
	return s, nil
}

// types gives the query types' values, and the numbers of types and customers by name.
func types(set settings.Values) (values []float64, kinds, customers map[string]int) {
	kinds, customers = map[string]int{}, map[string]int{}
	for i := range set.Count("classes") {
		kinds[set.ItemField("classes", i, "name")] = i
		values = append(values, set.Float("classes."+strconv.Itoa(i)+".importance", 1))
	}
	for i := range set.Count("customers") {
		customers[set.ItemField("customers", i, "name")] = i
	}
	return values, kinds, customers
}

func (g *grpcFile) settings(set settings.Values) (*GRPC, Findings) {
	var bad Findings
	wrong := func(path, form string, args ...any) {
		bad = append(bad, Finding{"/grpc/" + path, fmt.Sprintf(form, args...)})
	}
	address := func(path, text string) netip.AddrPort {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			wrong(path, "no address: %v", err)
		}
		return at
	}
	l, ch := &g.Limits, &g.Channels
	r := &grpcproxy.Settings{
		Limits: grpcproxy.Limits{MaxConnections: or(l.Connections, 256), MaxCallsPerConnection: or(l.PerConn, 100), MaxCalls: or(l.Calls, 1000),
			MaxCallsPerCustomer: or(l.PerCustomer, 0), MaxBufferedBytes: kb * or(l.Held, 16384),
			MaxBufferedBytesPerConnection: kb * or(l.HeldPerConn, or(l.Held, 16384)), StreamWindowBytes: kb * or(l.Window, 64),
			MaxMetadataBytes: kb * or(l.Metadata, 16), MaxResetsPerSecond: or(l.Resets, 100), MaxControlFramesPerSecond: or(l.Controls, 200),
			HandshakeTimeout: or(l.Handshake, 2000), IdleTimeout: or(l.Idle, 300e3), PartialFrameTimeout: or(l.Half, 5000), WriteTimeout: or(l.Stuck, 20e3),
			WriteBufferBytes: kb * or(l.Lag, 64)},
		ConnPool: connpool.Settings{MaxConnections: or(ch.Most, 2), MaxStreams: or(ch.Streams, 100), MaxWaiting: or(ch.Waiting, 100),
			ConnectTimeout: or(ch.Connect, 500), IdleTimeout: or(ch.Idle, 60e3), InitialBackoff: or(ch.Backoff, 100),
			MaxBackoff: or(ch.BackoffMost, 5000), KeepaliveTime: or(ch.Ping, 10e3), KeepaliveTimeout: or(ch.PingWait, 2000)},
		Addresses: grpcproxy.Addresses{PortOffset: g.Servers.PortOffset, ByID: map[string]netip.AddrPort{}},
	}
	out := &GRPC{Listen: address("listen", g.Listen), Rules: r}
	for id, text := range g.Servers.ByID {
		r.Addresses.ByID[id] = address("servers/by-id/"+id, text)
	}
	if r.ConnPool.InitialBackoff > r.ConnPool.MaxBackoff {
		wrong("channels/backoff-ms", "over backoff-most-ms")
	}
	if r.Limits.MaxBufferedBytesPerConnection > r.Limits.MaxBufferedBytes {
		wrong("limits/held-per-connection-kb", "over held-kb")
	}
	if r.Limits.StreamWindowBytes > r.Limits.MaxBufferedBytes {
		wrong("limits/window-kb", "over held-kb: one stream alone could hold more than all may")
	}
	_, kinds, customers := types(set)
	shards := set.Int("family-info.slabs", 1)
	list := make([]*routes.Route, len(g.Routes))
	called := map[string]int{}
	for i := range g.Routes {
		f := &g.Routes[i]
		at := "routes/" + strconv.Itoa(i) + "/"
		if first, twice := called[f.Name]; twice {
			wrong(at+"name", "route %d has that name", first)
		}
		called[f.Name] = i
		kind, known := kinds[f.QueryType]
		if !known {
			wrong(at+"query-type", "the settings name no query type %q", f.QueryType)
		}
		deadline := set.Float("classes."+strconv.Itoa(kind)+".deadline-ms", 3000)
		to := &routes.Route{Name: f.Name, Service: f.Match.Service, Method: f.Match.Method, Prefix: f.Match.Prefix, QueryType: kind,
			CustomerMetadata: f.Customer.Metadata, AffinityMetadata: f.About,
			Shard:          routes.ShardRule{MetadataKey: f.Shard.Metadata, Hash: f.Shard.Hash, BlockCount: f.Shard.Blocks, FixedShard: f.Shard.Fixed},
			DefaultTimeout: or(f.Timeout, deadline), MaxMessageBytes: kb * or(f.Message, 4096), RetryBufferBytes: kb * or(f.Repeat, 64),
			ResponseBufferBytes: kb * or(f.Hold, 64), WorkHint: f.Work}
		to.MaxTimeout = or(f.TimeoutMost, max(to.DefaultTimeout, deadline))
		if to.MaxTimeout < to.DefaultTimeout {
			wrong(at+"timeout-most-ms", "under timeout-ms")
		}
		if f.Customer.Name != "" {
			if to.DefaultCustomer, known = customers[f.Customer.Name]; !known {
				wrong(at+"customer/name", "the settings name no customer %q", f.Customer.Name)
			}
		}
		if f.Shard.Fixed >= shards {
			wrong(at+"shard/fixed", "there are %d shards", shards)
		}
		if f.Shard.Blocks > shards {
			wrong(at+"shard/blocks", "there are %d shards", shards)
		}
		switch f.Commit {
		case "headers":
			to.CommitPoint = routes.AtHeaders
		case "end":
			to.CommitPoint = routes.AtEnd
		}
		for _, name := range f.Unseen {
			code, _ := grpcwire.StatusByName(name)
			to.RejectedUnprocessed |= 1 << code
		}
		for _, m := range f.Match.Metadata {
			c := routes.Condition{Key: m.Key, AnyValue: m.Value == nil}
			if m.Value != nil {
				c.Value = *m.Value
			}
			to.Metadata = append(to.Metadata, c)
		}
		list[i] = to
	}
	if len(bad) > 0 {
		return nil, bad
	}
	table, err := routes.New(list)
	var c *routes.ConflictError
	if errors.As(err, &c) {
		wrong("routes/"+strconv.Itoa(c.Second)+"/match", "matches the same calls as route %d, %q, and neither is the longer",
			c.First, list[c.First].Name)
		return nil, bad
	}
	r.Routes = table
	return out, nil
}
