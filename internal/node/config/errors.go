package config

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var errorNamespace = errorx.NewNamespace("config")

// ErrInvalid is the type of errors that say why a configuration is refused; its message begins with the path of the
// offending item.
var ErrInvalid = errorNamespace.NewType("invalid").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrSnapshot is the type of errors of a snapshot that cannot be read.
var ErrSnapshot = errorNamespace.NewType("snapshot").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// invalid says why the item or field at path is refused.
func invalid(path, format string, arguments ...any) error {
	return ErrInvalid.New("%s: %s", path, fmt.Sprintf(format, arguments...))
}

// reasonOf is the message of an error without the name of its type.
func reasonOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}
