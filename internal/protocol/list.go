package protocol

import (
	"strconv"
)

// AppendWatch asks discovery for all changes after a version, and for those to come.
func AppendWatch(dst []byte, host string, after int64) []byte {
	dst = append(dst, "GET /v1/endpoints?watch=1&after="...)
	dst = strconv.AppendInt(dst, after, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

var serverStates = map[string]uint8{"ready": 0, "draining": 1, "gone": 2}

// ReadList reads a list of servers. With each nil it only looks whether the line is sound. The
// states are 0 ready, 1 draining, 2 gone; started is Unix time in milliseconds.
func ReadList(line []byte, each func(id, addr, zone []byte, cell int, state uint8, weight, started float64)) (
	version int64, full bool, err error) {
	s := &scanner{text: line}
	version, full, has := s.readList(each)
	if !s.complete() || has&5 != 5 {
		return 0, false, newError(400, "the list is not understood")
	}
	return version, full, nil
}

// beginsList tells whether a line is the sound beginning of a list that goes on in the next line.
func beginsList(line []byte) bool {
	s := &scanner{text: line}
	s.readList(nil)
	return s.truncated && s.text[0] == '{'
}

func (s *scanner) readList(each func(id, addr, zone []byte, cell int, state uint8, weight, started float64)) (
	version int64, full bool, has int) {
	s.object([]string{"generation", "reset", "instances"}, func(name int) {
		has |= 1 << name
		switch name {
		case 0:
			version = s.readInteger(0, 1<<53)
		case 1:
			full = s.readBool()
		case 2:
			s.items('[', ']', func() {
				var id, addr, zone, state []byte
				cell, weight, started, got := int64(0), 0.0, 0.0, 0
				names := []string{"instanceId", "hostPort", "lifecycle", "zone", "cell", "weight", "startedAtMs"}
				s.object(names, func(name int) {
					got |= 1 << name
					switch name {
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
				as, known := serverStates[string(state)]
				if got&7 != 7 && !(got&5 == 5 && as == 2) || !known || len(id) == 0 {
					s.fail()
				}
				if each != nil && !s.broken {
					each(id, addr, zone, int(cell), as, weight, started)
				}
			})
		}
	})
	return version, full, has
}
