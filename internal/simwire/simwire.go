// Package simwire connects the policy of aggregators to a simulator. The simulator writes frames of
// events, and for each frame reads one reply with the decisions of the policies. The package maps the
// ids on the wire to the small indices of package policy, and runs one policy per simulated aggregator.
//
// A frame is the length of its records (uint32), the simulated time in milliseconds (float64) and the
// records. A reply is the number of its records and their length (two uint32), and the records. Each
// record begins with its code (uint16); all numbers are little-endian. The names of the records are
// those of the simulator's protocol.
package simwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"kestrelspread/internal/aggregator/policy"
)

const (
	rowSize  = 23      // bytes of a server's row in a list
	maxLists = 16      // lists that a simulator may number
	maxRead  = 1 << 16 // bytes by which the frame buffer grows at a time, so that an invalid length costs little memory
)

// host runs the simulated aggregators of one process, and stores the numbered server lists that they share.
type host struct {
	lists            [maxLists][]byte     // rows of each list
	instances        map[uint16]*instance // by their number on the wire
	instancesInRound []*instance          // instances with an event in this frame
	now              float64              // simulated time in milliseconds
	reply            []byte               // records of the reply
	records          uint32               // number of records in reply
	selectedInstance int                  // number of the instance that the last From record selected, or -1
}

// instance is one simulated aggregator: its policy, and the mapping between ids on the wire and indices.
// Searches and shard requests share one space of indices; servers have their own.
type instance struct {
	number      uint16
	alive       bool // an Enlist record came and no Teardown record since
	host        *host
	policy      policy.Decider
	idOf        []uint64        // wire id of a search or shard request by its index
	indexOf     map[uint64]int  // index by wire id
	freeIndices []int           // indices that may be used again
	searchOfJob map[float32]int // index of a search by its job number on the wire
	jobOfSearch map[int]float32
	requestsOf  map[int][]int   // indices of the shard requests by the index of their search
	serverIndex map[[6]byte]int // index of a server by its wire id
	serverIDs   [][6]byte       // wire id of a server by its index
	listed      []bool          // by index: the list names the server, and not as gone
	report      []float64       // buffer of readReport
	inRound     bool            // the policy's round was begun in this frame
}

// Run reads frames from r and writes the replies to w until r ends. It returns nil if r ends between two
// frames.
func Run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, maxRead), bufio.NewWriterSize(w, maxRead)
	h := &host{instances: map[uint16]*instance{}}
	var head [12]byte
	var frame []byte
	for n := 0; ; n++ {
		if _, err := io.ReadFull(in, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame %d: header was cut off: %w", n, err)
		}
		size := int(binary.LittleEndian.Uint32(head[:]))
		frame = frame[:0]
		for len(frame) < size {
			received, step := len(frame), min(size-len(frame), maxRead)
			frame = append(frame, make([]byte, step)...)
			if _, err := io.ReadFull(in, frame[received:]); err != nil {
				return fmt.Errorf("frame %d: body of %d bytes was cut off: %w", n, size, err)
			}
		}
		h.now = math.Float64frombits(binary.LittleEndian.Uint64(head[4:]))
		if math.IsNaN(h.now) || math.IsInf(h.now, 0) {
			return fmt.Errorf("frame %d: time is not a finite number", n)
		}
		if err := h.handleFrame(frame); err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		binary.LittleEndian.PutUint32(head[:], h.records)
		binary.LittleEndian.PutUint32(head[4:], uint32(len(h.reply)))
		out.Write(head[:8])
		out.Write(h.reply)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("write the reply to frame %d: %w", n, err)
		}
	}
}

// handleFrame handles the records of a frame and then ends the rounds that they began. If a policy panics,
// the reply reports that in a Fatal record, and no error is returned.
func (h *host) handleFrame(frame []byte) (err error) {
	h.reply, h.records, h.selectedInstance = h.reply[:0], 0, -1
	h.instancesInRound = h.instancesInRound[:0]
	var in *instance
	defer func() {
		if v := recover(); v != nil {
			if in != nil {
				h.selectInstance(in)
			}
			h.appendText(decisionFatal, fmt.Sprint("decision code failed: ", v))
			err = nil
		}
	}()
	c := &cursor{frame: frame}
	for c.offset < len(frame) {
		recordStart := c.offset
		code := c.u16()
		if code == eventFor {
			number := c.u16()
			if !c.overrun {
				if in = h.instances[number]; in == nil {
					in = &instance{number: number, host: h}
					h.instances[number] = in
				}
			}
		} else if code == eventSnapshotRows {
			list, rows := c.u8(), c.u32()
			data := c.bytes(int(min(uint64(rows)*rowSize, math.MaxInt32)))
			if !c.overrun {
				if int(list) >= len(h.lists) {
					return fmt.Errorf("SnapshotRows at byte %d: list number %d exceeds %d", recordStart, list, maxLists-1)
				}
				h.lists[list] = append(h.lists[list][:0], data...)
			}
		} else if !c.overrun {
			name, known := eventNames[code]
			if !known {
				return fmt.Errorf("unknown code %d at byte %d", code, recordStart)
			}
			if in == nil {
				return fmt.Errorf("%s at byte %d comes before any For record", name, recordStart)
			}
			if err := in.handleEvent(code, c); err != nil {
				return fmt.Errorf("%s at byte %d: %w", name, recordStart, err)
			}
			if c.overrun {
				return fmt.Errorf("%s at byte %d %w", name, recordStart, errOverrun)
			}
		}
		if c.overrun {
			return fmt.Errorf("record %d at byte %d %w", code, recordStart, errOverrun)
		}
	}
	for _, in = range h.instancesInRound {
		if in.inRound {
			in.inRound = false
			in.policy.EndRound()
		}
	}
	return nil
}
