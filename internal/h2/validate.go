package h2

// pseudoHeaders is a set of pseudo-header fields.
type pseudoHeaders uint8

const (
	pseudoMethod pseudoHeaders = 1 << iota
	pseudoScheme
	pseudoPath
	pseudoAuthority
	pseudoStatus

	requiredOfRequest  = pseudoMethod | pseudoScheme | pseudoPath
	requiredOfResponse = pseudoStatus
)

// pseudoHeaderByName returns the empty set for unknown names.
func pseudoHeaderByName(name string) pseudoHeaders {
	switch name {
	case ":method":
		return pseudoMethod
	case ":scheme":
		return pseudoScheme
	case ":path":
		return pseudoPath
	case ":authority":
		return pseudoAuthority
	case ":status":
		return pseudoStatus
	}
	return 0
}

// validHeaderSection checks the fields of a header section (RFC 9113, sections 8.2 and 8.3): those of
// a request or a response, or, with trailers, of a trailer section.
func validHeaderSection(fields []Field, request, trailers bool) bool {
	regularSeen := false
	var seen pseudoHeaders
	for _, field := range fields {
		if field.Name == "" {
			return false
		}
		if field.Name[0] != ':' {
			regularSeen = true
			if !validField(field) {
				return false
			}
			continue
		}
		pseudo := pseudoHeaderByName(field.Name)
		known := pseudo != 0 && request == (pseudo != pseudoStatus)
		if !known || regularSeen || trailers || seen&pseudo != 0 {
			return false
		}
		seen |= pseudo
	}
	switch {
	case trailers:
		return true
	case request:
		return seen&requiredOfRequest == requiredOfRequest
	}
	return seen == requiredOfResponse
}

// validField checks a field that is no pseudo-header field.
func validField(field Field) bool {
	for i := range len(field.Name) {
		if !validNameByte(field.Name[i]) {
			return false
		}
	}
	for i := range len(field.Value) {
		switch field.Value[i] {
		case 0, '\r', '\n':
			return false
		}
	}
	switch field.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		return false // connection-specific (section 8.2.2)
	case "te":
		return field.Value == "trailers"
	}
	return true
}

// validNameByte rejects what section 8.2.1 forbids in names, capitals among it.
func validNameByte(b byte) bool {
	return b > ' ' && b < 127 && b != ':' && !(b >= 'A' && b <= 'Z')
}
