package protocol

import (
	"strconv"
)

// AppendWatchRequest appends the request that asks the discovery service at host for all changes of the server
// list after a version, and for a stream of the later ones.
func AppendWatchRequest(dst []byte, host string, after int64) []byte {
	dst = append(dst, "GET /v1/endpoints?watch=1&after="...)
	dst = strconv.AppendInt(dst, after, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// serverStates maps the lifecycle names of discovery to the state numbers that ParseServerList passes on.
var serverStates = map[string]uint8{"ready": 0, "draining": 1, "gone": 2}

// ParseServerList parses one server list of discovery and calls each for every server; if each is nil, it only
// validates the line. full reports whether the list replaces all servers instead of changing some.
// state is 0 for ready, 1 for draining and 2 for gone; started is Unix time in milliseconds. A list may
// prove invalid after calls of each: callers validate it first.
func ParseServerList(line []byte, each func(id, addr, zone []byte, cell int, state uint8, weight, started float64)) (
	version int64, full bool, err error) {
	s := &scanner{text: line}
	version, full, presentFields := s.readServerList(each)
	if !s.complete() || presentFields&5 != 5 { // the version and the servers are required
		return 0, false, newRequestError(400, "invalid server list")
	}
	return version, full, nil
}

// isListPrefix reports whether a line is a valid prefix of a list that continues on the next line.
func isListPrefix(line []byte) bool {
	s := &scanner{text: line}
	s.readServerList(nil)
	return s.truncated && s.text[0] == '{'
}

// readServerList parses a list. Bit i of presentFields is set if field i of the top-level object is present.
func (s *scanner) readServerList(each func(id, addr, zone []byte, cell int, state uint8, weight, started float64)) (
	version int64, full bool, presentFields int) {
	s.readObject([]string{"generation", "reset", "instances"}, func(field int) {
		presentFields |= 1 << field
		switch field {
		case 0:
			version = s.readInteger(0, 1<<53)
		case 1:
			full = s.readBool()
		case 2:
			s.readElements('[', ']', func() {
				var id, addr, zone, state []byte
				cell, weight, started, entryFields := int64(0), 0.0, 0.0, 0
				names := []string{"instanceId", "hostPort", "lifecycle", "zone", "cell", "weight", "startedAtMs"}
				s.readObject(names, func(field int) {
					entryFields |= 1 << field
					switch field {
					case 0:
						id = s.readString()
					case 1:
						addr = s.readString()
					case 2:
						state = s.readString()
					case 3:
						zone = s.readString()
					case 4:
						cell = s.readInteger(0, 1<<30)
					case 5:
						weight = s.readNumber()
					case 6:
						started = s.readNumber()
					}
				})
				stateNumber, known := serverStates[string(state)]
				// Id, address and state are required, but a server that is gone needs no address.
				if entryFields&7 != 7 && !(entryFields&5 == 5 && stateNumber == 2) || !known || len(id) == 0 {
					s.fail()
				}
				if each != nil && !s.failed {
					each(id, addr, zone, int(cell), stateNumber, weight, started)
				}
			})
		}
	})
	return version, full, presentFields
}
