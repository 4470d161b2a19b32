// Package simwire speaks the bench's frames: it reads events in place, turns ids into small indices,
// keeps one policy for each aggregator and writes down what that policy decides.
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
	rowSize = 23
	maxRead = 1 << 16 // read at most this much ahead of what has come, so that a false length costs little
)

// host is what one process keeps: the numbered lists and its aggregators.
type host struct {
	lists     [16][]byte
	instances map[uint16]*instance
	inRound   []*instance
	now       float64
	reply     []byte
	records   uint32
	speaker   int
}

// instance is one aggregator: its policy, and the indices of the simulator's ids.
type instance struct {
	number      uint16
	alive       bool
	host        *host
	port        policy.Decider
	idOf        []uint64 // request index to id
	indexOf     map[uint64]int
	freeIndices []int
	searchOfJob map[float32]int
	jobOfSearch map[int]float32
	requestsOf  map[int][]int // a search's parts
	serverIndex map[[6]byte]int
	serverIDs   [][6]byte
	listed      []bool
	report      []float64
	inRound     bool
}

// Run plays until the input ends between two frames.
func Run(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, maxRead), bufio.NewWriterSize(w, maxRead)
	h := &host{instances: map[uint16]*instance{}}
	var head [12]byte
	var frame []byte
	for n := 0; ; n++ {
		if _, err := io.ReadFull(in, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame %d: header cut short: %w", n, err)
		}
		size := int(binary.LittleEndian.Uint32(head[:]))
		frame = frame[:0]
		for len(frame) < size {
			at, step := len(frame), min(size-len(frame), maxRead)
			frame = append(frame, make([]byte, step)...)
			if _, err := io.ReadFull(in, frame[at:]); err != nil {
				return fmt.Errorf("frame %d: cut short in its %d bytes: %w", n, size, err)
			}
		}
		h.now = math.Float64frombits(binary.LittleEndian.Uint64(head[4:]))
		if math.IsNaN(h.now) || math.IsInf(h.now, 0) {
			return fmt.Errorf("frame %d: the clock is no number", n)
		}
		if err := h.handleFrame(frame); err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		binary.LittleEndian.PutUint32(head[:], h.records)
		binary.LittleEndian.PutUint32(head[4:], uint32(len(h.reply)))
		out.Write(head[:8])
		out.Write(h.reply)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// handleFrame reads the records of a frame; a policy that panics is reported in the reply.
func (h *host) handleFrame(frame []byte) (err error) {
	h.reply, h.records, h.speaker = h.reply[:0], 0, -1
	h.inRound = h.inRound[:0]
	var in *instance
	defer func() {
		if v := recover(); v != nil {
			if in != nil {
				h.selectInstance(in)
			}
			h.appendText(1030, fmt.Sprint("decision code failed: ", v))
			err = nil
		}
	}()
	c := &cursor{frame: frame}
	for c.offset < len(frame) {
		at := c.offset
		code := c.u16()
		if code == 1050 {
			num := c.u16()
			if !c.broken {
				if in = h.instances[num]; in == nil {
					in = &instance{number: num, host: h}
					h.instances[num] = in
				}
			}
		} else if code == 1090 {
			list, rows := c.u8(), c.u32()
			data := c.bytes(int(min(uint64(rows)*rowSize, math.MaxInt32)))
			if !c.broken {
				if int(list) >= len(h.lists) {
					return fmt.Errorf("SnapshotRows at byte %d: list number %d is over 15", at, list)
				}
				h.lists[list] = append(h.lists[list][:0], data...)
			}
		} else if !c.broken {
			name, known := eventNames[code]
			if !known {
				return fmt.Errorf("unknown code %d at byte %d", code, at)
			}
			if in == nil {
				return fmt.Errorf("%s at byte %d comes before any For", name, at)
			}
			if err := in.handleEvent(code, c); err != nil {
				return fmt.Errorf("%s at byte %d: %w", name, at, err)
			}
			if c.broken {
				return fmt.Errorf("%s at byte %d %w", name, at, errShort)
			}
		}
		if c.broken {
			return fmt.Errorf("record %d at byte %d %w", code, at, errShort)
		}
	}
	for _, in = range h.inRound {
		if in.inRound {
			in.inRound = false
			in.port.EndRound()
		}
	}
	return nil
}
