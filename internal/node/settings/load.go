package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// The errors of this package.
var (
	// ErrUnreadable says that the file could not be read.
	ErrUnreadable = errors.New("settings: unreadable")
	// ErrMalformed says that the content is not as DEPLOY.md specifies; the message names the path of the field.
	ErrMalformed = errors.New("settings: malformed")
)

// maxFileBytes bounds the settings file; the example of DEPLOY.md is under 2 KiB.
const maxFileBytes = 1 << 20

// Load reads and validates the settings file at path. The error is ErrUnreadable or ErrMalformed, and
// names the path.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: file %s: %w", ErrUnreadable, path, err)
	}
	settings, err := Parse(content)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return settings, nil
}

// Parse decodes and validates the content of a settings file. The error is ErrMalformed.
func Parse(content []byte) (*Settings, error) {
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("%w: the file has %d bytes, more than %d", ErrMalformed, len(content), maxFileBytes)
	}
	var decoded document
	if err := json.Unmarshal(content, &decoded); err != nil {
		return nil, malformedJSON(err)
	}
	settings, err := decoded.settings()
	if err != nil {
		return nil, fmt.Errorf("%w: %s", ErrMalformed, err.Error())
	}
	return settings, nil
}

// malformedJSON wraps an error of encoding/json, with the path of the field where that is known.
func malformedJSON(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return fmt.Errorf("%w: field %s: %s where %s is expected", ErrMalformed, wrongType.Field, wrongType.Value, kindName(wrongType))
	}
	return fmt.Errorf("%w: not a JSON object: %s", ErrMalformed, err.Error())
}

// kindName returns what JSON calls the type that a field must have.
func kindName(wrongType *json.UnmarshalTypeError) string {
	switch wrongType.Type.Kind().String() {
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	case "string":
		return "a text"
	case "slice":
		return "a list"
	default:
		return "an object"
	}
}

// fieldError says what is wrong with one field.
type fieldError struct {
	path    string
	problem string
}

// Error implements error.
func (e *fieldError) Error() string { return fmt.Sprintf("field %s: %s", e.path, e.problem) }
