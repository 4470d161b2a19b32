package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/joomcode/errorx"
)

// The errors of this package.
var (
	namespace = errorx.NewNamespace("settings")
	// Unreadable says that the file could not be read.
	Unreadable = namespace.NewType("unreadable")
	// Malformed says that the content is not as DEPLOY.md specifies; the message names the path of the field.
	Malformed = namespace.NewType("malformed")
)

// maxFileBytes bounds the settings file; the example of DEPLOY.md is under 2 KiB.
const maxFileBytes = 1 << 20

// Load reads and validates the settings file at path. The error is of type Unreadable or Malformed, and
// names the path.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, Unreadable.Wrap(err, "settings file %s", path)
	}
	settings, err := Parse(content)
	if err != nil {
		return nil, errorx.Decorate(err, "settings file %s", path)
	}
	return settings, nil
}

// Parse decodes and validates the content of a settings file. The error is of type Malformed.
func Parse(content []byte) (*Settings, error) {
	if len(content) > maxFileBytes {
		return nil, Malformed.New("the file has %d bytes, more than %d", len(content), maxFileBytes)
	}
	var decoded document
	if err := json.Unmarshal(content, &decoded); err != nil {
		return nil, malformedJSON(err)
	}
	settings, err := decoded.settings()
	if err != nil {
		return nil, Malformed.New("%s", err.Error())
	}
	return settings, nil
}

// malformedJSON wraps an error of encoding/json, with the path of the field where that is known.
func malformedJSON(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return Malformed.New("field %s: %s where %s is expected", wrongType.Field, wrongType.Value, kindName(wrongType))
	}
	return Malformed.New("not a JSON object: %s", err.Error())
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
