package nodepb_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/nodepb"
)

// TestSchemaKeepsItsNumbers freezes what the schema means on the wire and in the journal: the numbers of messages'
// fields and of enums' values, types, cardinality and membership of oneofs. Names may change: a message is known by the
// path of field numbers that leads to it from Envelope, a record of the journal by its shape alone. The text after '#' in
// the golden file names each item as it was called when the file was made; it isn't compared.
func TestSchemaKeepsItsNumbers(t *testing.T) {
	const file = "golden/descriptor.txt"
	described := describeSchema((&nodepb.Envelope{}).ProtoReflect().Descriptor())
	if golden.FlagUpdate() {
		golden.Assert(t, described, file)
	}
	want := withoutNames(string(golden.Get(t, file)))
	assert.Equal(t, withoutNames(described), want)
	assert.Assert(t, strings.Count(want, "\n") > 250, "the golden file is incomplete")
}

func withoutNames(described string) string {
	var kept strings.Builder
	for line := range strings.Lines(described) {
		shape, _, _ := strings.Cut(line, "#")
		kept.WriteString(strings.TrimRight(shape, " \n") + "\n")
	}
	return kept.String()
}

// describeSchema describes the messages that envelopes hold in the order of their paths, then the others of the file
// in the order of their shapes.
func describeSchema(envelope protoreflect.MessageDescriptor) string {
	paths := make(map[protoreflect.FullName]string)
	var described strings.Builder
	describeMessage(&described, envelope, "envelope", paths)

	var records []string
	messages := envelope.ParentFile().Messages()
	for i := range messages.Len() {
		if _, reached := paths[messages.Get(i).FullName()]; reached {
			continue
		}
		var record strings.Builder
		describeMessage(&record, messages.Get(i), "record", paths)
		records = append(records, record.String())
	}
	sort.Slice(records, func(i, j int) bool { return withoutNames(records[i]) < withoutNames(records[j]) })
	return described.String() + strings.Join(records, "")
}

// describeMessage describes the message, then those first met in its fields, depth first.
func describeMessage(described *strings.Builder, message protoreflect.MessageDescriptor, path string, paths map[protoreflect.FullName]string) {
	paths[message.FullName()] = path
	fmt.Fprintf(described, "message %s # %s\n", path, message.Name())
	fields := byNumber(message.Fields())
	for _, field := range fields {
		fmt.Fprintf(described, "  %d %s # %s\n", field.Number(), describeField(field), field.Name())
	}
	for _, field := range fields {
		inner := field.Message()
		if inner == nil {
			continue
		}
		if known, met := paths[inner.FullName()]; met {
			fmt.Fprintf(described, "  %s.%d is %s\n", path, field.Number(), known)
			continue
		}
		describeMessage(described, inner, fmt.Sprintf("%s.%d", path, field.Number()), paths)
	}
}

func byNumber(fields protoreflect.FieldDescriptors) []protoreflect.FieldDescriptor {
	var sorted []protoreflect.FieldDescriptor
	for i := range fields.Len() {
		sorted = append(sorted, fields.Get(i))
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Number() < sorted[j].Number() })
	return sorted
}

func describeField(field protoreflect.FieldDescriptor) string {
	words := []string{field.Cardinality().String(), field.Kind().String()}
	if field.IsPacked() {
		words = append(words, "packed")
	}
	if field.HasPresence() {
		words = append(words, "presence")
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		words = append(words, fmt.Sprintf("oneof-from-%d", byNumber(oneof.Fields())[0].Number()))
	}
	var names string
	if enum := field.Enum(); enum != nil {
		var numbers, texts []string
		for i := range enum.Values().Len() {
			numbers = append(numbers, fmt.Sprint(enum.Values().Get(i).Number()))
			texts = append(texts, string(enum.Values().Get(i).Name()))
		}
		words = append(words, "{"+strings.Join(numbers, ",")+"}")
		names = " # " + strings.Join(texts, ",")
	}
	return strings.Join(words, " ") + names
}

// TestStatesAreCalledAsOperatorsReadThem: the status of a node shows the names of this enum.
func TestStatesAreCalledAsOperatorsReadThem(t *testing.T) {
	envelope := (&nodepb.Envelope{}).ProtoReflect().Descriptor()
	instance := envelope.Fields().ByNumber(72).Message().Fields().ByNumber(2).Message()
	states := instance.Fields().ByNumber(7).Enum().Values()
	for number, name := range []string{"READY", "DRAINING", "GONE"} {
		assert.Equal(t, string(states.ByNumber(protoreflect.EnumNumber(number)).Name()), name)
	}
	assert.Equal(t, states.Len(), 3)
}
