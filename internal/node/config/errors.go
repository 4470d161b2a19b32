package config

import (
	"errors"
	"fmt"

	"kestrelspread/internal/node/config/rawjson"
)

// ErrSnapshot says that a snapshot can't be read; test for it with errors.Is.
var ErrSnapshot = errors.New("config: snapshot")

// InvalidError says why a command is rejected as invalid.
type InvalidError struct {
	// Reason is what the operator reads. It begins with the path of the offending item or field.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "config: invalid: " + e.Reason }

// invalid returns an InvalidError about the item or field at path.
func invalid(path, format string, arguments ...any) error {
	return &InvalidError{Reason: path + ": " + fmt.Sprintf(format, arguments...)}
}

// reasonOf returns the part of an error's text that the operator reads: without the package's and
// the kind's name.
func reasonOf(err error) string {
	var invalid *InvalidError
	var malformed *rawjson.MalformedError
	switch {
	case errors.As(err, &invalid):
		return invalid.Reason
	case errors.As(err, &malformed):
		return malformed.Reason
	default:
		return err.Error()
	}
}
