// Package schema checks the items of a configuration against a CUE schema. Nodes that never check a configuration do not
// pay for CUE: the schema is compiled at the first check.
package schema

import (
	_ "embed"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/token"
	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/config"
)

//go:embed schema.cue
var source string

// definitions names the definition of each kind of item in schema.cue.
var definitions = map[config.ItemKind]string{
	config.RouteItem:   "#Route",
	config.ServiceItem: "#Service",
	config.TenantItem:  "#Tenant",
	config.LimitsItem:  "#Limits",
}

// Checker implements config.Checker. It belongs to one goroutine.
type Checker struct {
	context *cue.Context // nil before the first check
	schema  cue.Value
}

// NewChecker is a checker that has compiled nothing yet.
func NewChecker() *Checker { return &Checker{} }

// CheckItems returns an error of type config.ErrInvalid for the first item that breaks the schema.
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

func (c *Checker) compile() error {
	if c.context != nil {
		return nil
	}
	context := cuecontext.New()
	schema := context.CompileString(source, cue.Filename("schema.cue"))
	if err := schema.Validate(); err != nil {
		return errorx.AssertionFailed.Wrap(err, "schema.cue")
	}
	c.context, c.schema = context, schema
	return nil
}

// checkItem evaluates the item together with its definition, as `#Route & {...}`.
func (c *Checker) checkItem(item config.SchemaItem) error {
	expression := &ast.BinaryExpr{
		X:  ast.NewIdent(definitions[item.Kind]),
		Op: token.AND,
		Y:  expressionOf(item.JSON),
	}
	value := c.context.BuildExpr(expression, cue.Scope(c.schema))
	if err := value.Validate(cue.Concrete(true)); err != nil {
		return config.ErrInvalid.New("%v: %s", item.Path, firstMessage(err))
	}
	return nil
}

// firstMessage is the first of the errors that CUE found, with the path within the item.
func firstMessage(err error) string {
	all := errors.Errors(err)
	if len(all) == 0 {
		return err.Error()
	}
	return all[0].Error()
}
