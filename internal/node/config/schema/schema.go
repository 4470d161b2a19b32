// Package schema checks single items of a configuration against the CUE schema in schema.cue. The
// rules between items are not its matter: package config checks them.
//
// Invariants: nodes that never check a configuration do not pay for CUE, as the schema is compiled
// at the first check. An item is checked member by member, each against its constraint, and valid
// values are remembered, as most routes of a configuration agree in all but name, host and prefix.
// So no constraint of the schema may refer to another member of the item.
package schema

import (
	_ "embed"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/rawjson"
)

//go:embed schema.cue
var schemaSource string

// definitionNames are the names of the kinds of items in schema.cue.
var definitionNames = map[config.ItemKind]string{
	config.RouteItem:   "#Route",
	config.ServiceItem: "#Service",
	config.TenantItem:  "#Tenant",
	config.LimitsItem:  "#Limits",
}

// Bounds of what is remembered as valid, for each kind of item.
const (
	maxValidValues      = 4096
	maxValidValueLength = 160 // of a value, in bytes
)

// Checker implements config.Checker. It is not safe for concurrent use.
type Checker struct {
	context     *cue.Context // nil before the first check
	definitions map[config.ItemKind]*definition
}

// definition is the schema of one kind of item.
type definition struct {
	constraints  map[string]cue.Value // by member
	required     []string
	validMembers map[validMember]struct{}
}

// validMember is a member whose value was found valid.
type validMember struct{ name, value string }

// NewChecker returns a checker that has compiled nothing yet.
func NewChecker() *Checker { return &Checker{} }

// CheckItems returns a *config.InvalidError about the first item that violates the
// schema.
func (c *Checker) CheckItems(items []config.SchemaItem) error {
	if err := c.compile(); err != nil {
		return err
	}
	for _, item := range items {
		if err := c.checkItem(item); err != nil {
			return err
		}
	}
	return nil
}

// compile compiles the schema at the first check.
func (c *Checker) compile() error {
	if c.context != nil {
		return nil
	}
	context := cuecontext.New()
	schema := context.CompileString(schemaSource, cue.Filename("schema.cue"))
	definitions := make(map[config.ItemKind]*definition, len(definitionNames))
	for kind, name := range definitionNames {
		definition, err := newDefinition(schema.LookupPath(cue.ParsePath(name)))
		if err != nil {
			return &config.InvalidError{Reason: fmt.Sprintf("schema.cue: %v", err)}
		}
		definitions[kind] = definition
	}
	c.context, c.definitions = context, definitions
	return nil
}

func newDefinition(value cue.Value) (*definition, error) {
	fields, err := value.Fields(cue.Optional(true))
	if err != nil {
		return nil, err
	}
	definition := &definition{constraints: map[string]cue.Value{}, validMembers: map[validMember]struct{}{}}
	for fields.Next() {
		name := fields.Selector().Unquoted()
		definition.constraints[name] = fields.Value()
		if !fields.IsOptional() {
			definition.required = append(definition.required, name)
		}
	}
	return definition, nil
}

// checkItem checks one item. A member that is null counts as missing.
func (c *Checker) checkItem(item config.SchemaItem) error {
	definition := c.definitions[item.Kind]
	if rawjson.IsNull(item.JSON) {
		return nil
	}
	if !rawjson.IsObject(item.JSON) {
		return &config.InvalidError{Reason: fmt.Sprintf("%v: must be an object", item.Path)}
	}
	for _, name := range definition.required {
		if value := rawjson.Member(item.JSON, name); value == nil || rawjson.IsNull(value) {
			return &config.InvalidError{Reason: fmt.Sprintf("%v.%s: is missing", item.Path, name)}
		}
	}
	return rawjson.EachMember(item.JSON, func(name, value []byte) error {
		if rawjson.IsNull(value) {
			return nil
		}
		if err := c.checkMember(definition, name, value); err != nil {
			return &config.InvalidError{Reason: fmt.Sprintf("%v.%s", item.Path, describeError(string(name), err))}
		}
		return nil
	})
}

// checkMember unifies the value of a member with its constraint, unless the value is remembered as
// valid. Members that the schema does not name are valid.
func (c *Checker) checkMember(definition *definition, name, value []byte) error {
	constraint, constrained := definition.constraints[string(name)]
	if !constrained {
		return nil
	}
	if _, known := definition.validMembers[validMember{string(name), string(value)}]; known {
		return nil
	}
	evaluated := constraint.Unify(c.context.BuildExpr(expressionOf(value)))
	if err := evaluated.Validate(cue.Concrete(true)); err != nil {
		return err
	}
	definition.rememberValid(name, value)
	return nil
}

// rememberValid remembers a valid value if it is short. It forgets all of them when there are too
// many.
func (d *definition) rememberValid(name, value []byte) {
	if len(value) > maxValidValueLength {
		return
	}
	if len(d.validMembers) >= maxValidValues {
		clear(d.validMembers)
	}
	d.validMembers[validMember{string(name), string(value)}] = struct{}{}
}

// describeError describes the first of CUE's errors in a member, with its path within the item.
func describeError(member string, err error) string {
	cueErrors := errors.Errors(err)
	if len(cueErrors) == 0 {
		return member + ": " + err.Error()
	}
	format, arguments := cueErrors[0].Msg()
	return member + pathBelow(member, cueErrors[0].Path()) + ": " + fmt.Sprintf(format, arguments...)
}

// pathBelow returns what follows the member in a path of CUE, as "[1].weight".
func pathBelow(member string, path []string) string {
	start := slices.Index(path, member) + 1
	var below strings.Builder
	for _, step := range path[start:] {
		if _, err := strconv.Atoi(step); err == nil {
			below.WriteString("[" + step + "]")
		} else {
			below.WriteString("." + step)
		}
	}
	return below.String()
}
