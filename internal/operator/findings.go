package operator

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Finding is one fault of a file.
type Finding struct {
	Path   string // in the file, by RFC 6901
	Reason string
}

// String returns the path and the reason.
func (f Finding) String() string { return f.Path + ": " + f.Reason }

// Findings are all faults of a file, in the order of their paths.
type Findings []Finding

// Error implements error: all findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

func (f *Findings) add(path, format string, args ...any) {
	*f = append(*f, Finding{path, fmt.Sprintf(format, args...)})
}

// address reads an address and port, of any IP version.
func (f *Findings) address(path, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		f.add(path, "no address: %v", err)
	}
	return address
}

func (f Findings) sort() {
	sort.SliceStable(f, func(i, j int) bool { return f[i].Path < f[j].Path })
}

var printer = message.NewPrinter(language.English)

// findingsFromSchema returns the innermost errors of a validation, without the schema's way there.
func findingsFromSchema(e *jsonschema.ValidationError) Findings {
	var found Findings
	found.collect(e)
	found.sort()
	return found
}

func (f *Findings) collect(e *jsonschema.ValidationError) {
	for _, cause := range e.Causes {
		f.collect(cause)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := "/" + strings.Join(e.InstanceLocation, "/")
	extra, isExtra := e.ErrorKind.(*kind.AdditionalProperties)
	if !isExtra {
		*f = append(*f, Finding{path, e.ErrorKind.LocalizedString(printer)})
		return
	}
	for _, name := range extra.Properties { // each by its own path: whoever misspells a name looks for that
		f.add(strings.TrimSuffix(path, "/")+"/"+name, "no such setting")
	}
}
