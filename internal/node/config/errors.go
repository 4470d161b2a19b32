package config

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var errorNamespace = errorx.NewNamespace("config")

// ErrInvalid is the type of errors about commands that are rejected as invalid; the message begins
// with the path of the offending item or field.
var ErrInvalid = errorNamespace.NewType("invalid").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrSnapshot is the type of errors about snapshots that can't be read.
var ErrSnapshot = errorNamespace.NewType("snapshot").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// invalid returns an error of type ErrInvalid about the item or field at path.
func invalid(path, format string, arguments ...any) error {
	return ErrInvalid.New("%s: %s", path, fmt.Sprintf(format, arguments...))
}

// reasonOf returns the message of an error without the name of its type.
func reasonOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
