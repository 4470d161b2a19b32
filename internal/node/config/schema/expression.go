package schema

import (
	"bytes"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/token"

	"kestrelspread/internal/node/config/rawjson"
)

// expressionOf converts a compact JSON value to a CUE expression. Members that are null are left
// out, as null stands for a missing field. Package cuelang.org/go/encoding/json does the same by
// CUE's parser, in several times the time.
func expressionOf(value []byte) ast.Expr {
	switch {
	case rawjson.IsObject(value):
		return structOf(value)
	case rawjson.IsArray(value):
		return listOf(value)
	case rawjson.IsString(value):
		return ast.NewString(rawjson.String(value))
	case rawjson.IsNull(value):
		return ast.NewNull()
	case value[0] == 't', value[0] == 'f':
		return ast.NewBool(value[0] == 't')
	default:
		return numberOf(value)
	}
}

// structOf converts an object.
func structOf(object []byte) ast.Expr {
	expression := new(ast.StructLit)
	_ = rawjson.EachMember(object, func(name, value []byte) error {
		if !rawjson.IsNull(value) {
			field := &ast.Field{Label: ast.NewString(string(name)), Value: expressionOf(value)}
			expression.Elts = append(expression.Elts, field)
		}
		return nil
	})
	return expression
}

// listOf converts an array.
func listOf(array []byte) ast.Expr {
	expression := new(ast.ListLit)
	_ = rawjson.EachElement(array, func(_ int, value []byte) error {
		expression.Elts = append(expression.Elts, expressionOf(value))
		return nil
	})
	return expression
}

// numberOf converts a number. CUE has no negative literals.
func numberOf(text []byte) ast.Expr {
	if text[0] == '-' {
		return &ast.UnaryExpr{Op: token.SUB, X: numberOf(text[1:])}
	}
	kind := token.INT
	if bytes.ContainsAny(text, ".eE") {
		kind = token.FLOAT
	}
	return ast.NewLit(kind, string(text))
}
