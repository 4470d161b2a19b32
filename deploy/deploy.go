// Package deploy carries the published schema of the operator's file, so that the program checks by the very page that
// operators read.
package deploy

import _ "embed"

// Schema is operator.schema.json.
//
//go:embed operator.schema.json
var Schema []byte

// Example is operator.example.json.
//
//go:embed operator.example.json
var Example []byte
