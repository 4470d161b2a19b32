// Package operator reads the operator's own file: it checks it completely, against the published JSON Schema and then for what a
// schema can't say, and returns typed settings part by part. Each finding names its path in the file (RFC 6901). It does
// no I/O: reading the file is the caller's, and so is whatever the settings switch on.
//
// The file's keys are the operator's words and stay; the settings have the code's names.
package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"kestrelspread/deploy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/fleet/shedding"
)

// Settings are those of a valid file. A part that the file does not name is nil: it stays off.
type Settings struct {
	GRPC            *GRPC
	Ledger          *Ledger
	Gossip          *Gossip
	WatchSites      bool // failures of whole sites are detected; Gossip and Roles.ZoneRecovery need it
	LearnCapacity   bool // and servers' capacity under overload is learned
	SheddingWeights *shedding.Weights
	Roles           *Roles
}

const schemaURL = "urn:kestrelspread:operator"

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(deploy.Schema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaURL)
})

// Read checks a file's text against the schema and the broker's own settings, which name the query types, customers and
// shards. The error is of type Findings where the file is at fault.
func Read(text []byte, set settings.Values) (*Settings, error) {
	if err := validate(text); err != nil {
		return nil, err
	}
	var f file
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return nil, Findings{{"/", err.Error()}}
	}
	return f.settings(set)
}

// validate checks a text against the schema.
func validate(text []byte) error {
	schema, err := compiledSchema()
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Findings{{"/", "no JSON: " + err.Error()}}
	}
	err = schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return findingsFromSchema(invalid)
	}
	return err
}

// settings checks what the schema can't, and returns all that is wrong at once.
func (f *file) settings(set settings.Values) (*Settings, error) {
	var found Findings
	names := namesIn(set)
	s := &Settings{WatchSites: f.Sites != nil, LearnCapacity: f.Sites != nil && f.Sites.Borne}
	if f.GRPC != nil {
		s.GRPC = f.GRPC.settings(set, names, &found)
	}
	if f.Owner != nil {
		s.Roles = f.Owner.settings(s.WatchSites, &found)
	}
	if f.Order != nil {
		s.SheddingWeights = f.Order.settings(names, &found)
	}
	if f.Talk != nil {
		s.Gossip = f.Talk.settings(s.WatchSites, &found)
	}
	if f.Ledger != nil {
		s.Ledger = f.Ledger.settings(&found)
	}
	if len(found) > 0 {
		found.sort()
		return nil, found
	}
	return s, nil
}

// settingNames are the names that the broker's own settings give, and their indexes.
type settingNames struct {
	queryTypes    map[string]int
	customers     map[string]int
	customerCount int
	values        []float64 // by query type
}

func namesIn(set settings.Values) *settingNames {
	names := &settingNames{queryTypes: map[string]int{}, customers: map[string]int{}, customerCount: set.Count("customers")}
	for i := range set.Count("classes") {
		names.queryTypes[set.ItemField("classes", i, "name")] = i
		names.values = append(names.values, set.Float("classes."+strconv.Itoa(i)+".importance", 1))
	}
	for i := range names.customerCount {
		names.customers[set.ItemField("customers", i, "name")] = i
	}
	return names
}
