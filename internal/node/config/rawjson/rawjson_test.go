package rawjson_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config/rawjson"
)

func isMalformed(err error) bool {
	var malformed *rawjson.MalformedError
	return errors.As(err, &malformed)
}

func TestCompactRejectsAnythingButOneValue(t *testing.T) {
	for _, text := range []string{"", " ", "{", `{"a":}`, "{} {}", "{}x", `"\x"`, "01", "nul", `{"a":1,}`, "\xef\xbb\xbf{}", "\"\xff\"", "'a'", `{a:1}`, "NaN"} {
		_, err := rawjson.Compact([]byte(text))
		assert.Assert(t, isMalformed(err), "%q: %v", text, err)
	}
}

func TestCompactBoundsDepth(t *testing.T) {
	nested := func(depth int) []byte {
		return []byte(strings.Repeat("[", depth) + `"]]"` + strings.Repeat("]", depth))
	}
	_, err := rawjson.Compact(nested(rawjson.MaxDepth))
	assert.NilError(t, err)
	_, err = rawjson.Compact(nested(rawjson.MaxDepth + 1))
	assert.Assert(t, isMalformed(err))
}

func TestCompactLeavesItsArgument(t *testing.T) {
	text := []byte(" { \"a\" : [ 1 , 2 ] } ")
	compacted, err := rawjson.Compact(text)
	assert.NilError(t, err)
	assert.Equal(t, string(compacted), `{"a":[1,2]}`)
	assert.Equal(t, string(text), " { \"a\" : [ 1 , 2 ] } ")
}

func TestInteger(t *testing.T) {
	for text, wanted := range map[string]int64{
		"0": 0, "-0": 0, "7": 7, "7.0": 7, "7e0": 7, "0.7e1": 7, "-12": -12, "9007199254740992.0": 1 << 53,
		"9223372036854775807": 1<<63 - 1, "-9223372036854775808": -1 << 63,
	} {
		got, ok := rawjson.Integer([]byte(text))
		assert.Assert(t, ok, text)
		assert.Equal(t, got, wanted, text)
	}
	for _, text := range []string{"7.5", "1e-3", "1e400", "-1e400", "9223372036854775808", "1e18", `"7"`, "true", "null", "[]"} {
		_, ok := rawjson.Integer([]byte(text))
		assert.Assert(t, !ok, text)
	}
}

func TestMember(t *testing.T) {
	object := []byte(`{"a":1,"b":{"a":2},"\u0061b":[3],"a":"4\"}","c":null,"A":5}`)
	assert.Equal(t, string(rawjson.Member(object, "a")), `"4\"}"`)
	assert.Equal(t, string(rawjson.Member(object, "ab")), `[3]`)
	assert.Equal(t, string(rawjson.Member(object, "c")), `null`)
	assert.Assert(t, rawjson.Member(object, "d") == nil)
	assert.Assert(t, rawjson.Member([]byte(`{}`), "a") == nil)
}

func TestAppendName(t *testing.T) {
	for _, name := range []string{"", "a", "\"\\\n", "<é>"} {
		text := append(rawjson.AppendName([]byte("{"), name), "1}"...)
		assert.Equal(t, string(rawjson.Member(text, name)), "1")
	}
}

// rebuild decodes a value by way of this package.
func rebuild(value []byte) any {
	switch {
	case rawjson.IsObject(value):
		object := map[string]any{}
		_ = rawjson.EachMember(value, func(name, member []byte) error {
			object[string(name)] = rebuild(member)
			return nil
		})
		return object
	case rawjson.IsArray(value):
		list := []any{}
		_ = rawjson.EachElement(value, func(index int, element []byte) error {
			if index != len(list) {
				return fmt.Errorf("index %d of %d", index, len(list))
			}
			list = append(list, rebuild(element))
			return nil
		})
		return list
	case rawjson.IsString(value):
		return rawjson.String(value)
	case rawjson.IsNull(value):
		return nil
	case value[0] == 't', value[0] == 'f':
		return value[0] == 't'
	default:
		return json.Number(value)
	}
}

// FuzzSplit compares what this package makes of any text with encoding/json.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{
		`{}`, `[]`, `[[],{}]`, `{"a":[1,-2.5e3,true,false,null,"x"],"b":{"c":{}}}`, `"\"\\\u00e9\ud83d\ude00"`, ` [ 1 , { "a" : "]}" } ] `,
		`{"a":1,"a":2}`, `"\ud800"`, `[""]`, `{"":""}`, `-0`, `{"\\":"\\\\"}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		compacted, err := rawjson.Compact(text)
		if err != nil {
			return
		}
		again, err := rawjson.Compact(compacted)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, compacted)
		assert.DeepEqual(t, rebuild(compacted), decode(t, text))
	})
}

func decode(t *testing.T, text []byte) any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	assert.NilError(t, decoder.Decode(&value))
	return value
}
