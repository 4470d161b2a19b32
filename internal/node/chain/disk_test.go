package chain_test

import (
	"errors"
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/core"
)

var errDisk = errors.New("disk refuses writes")

// disk keeps the journal of one machine through its incarnations.
type disk struct {
	id      string
	records []core.Record
	// sync is how long a write takes; failing rejects writes; until hangUntil none ends.
	sync      time.Duration
	failing   bool
	hangUntil core.Time
	// inFlight is the write that has not ended; nil: none.
	inFlight *core.Write
}

// end is when a write that begins now ends.
func (d *disk) end(now core.Time, random *rand.Rand) core.Time {
	at := now + d.sync/2 + time.Duration(random.Int64N(int64(d.sync)+1))
	return max(at, d.hangUntil)
}

// complete makes the write in flight durable, or fails it with a part of it on the disk.
func (d *disk) complete(random *rand.Rand) error {
	write := d.inFlight
	d.inFlight = nil
	if d.failing {
		d.keepPart(write, random)
		return errDisk
	}
	if write.Checkpoint {
		d.records = nil
	}
	d.records = append(d.records, write.Records...)
	return nil
}

// stop ends the write in flight with the process or the power: a part of it may be on the disk.
func (d *disk) stop(random *rand.Rand) {
	if d.inFlight != nil {
		d.keepPart(d.inFlight, random)
	}
	d.inFlight = nil
}

func (d *disk) keepPart(write *core.Write, random *rand.Rand) {
	if write.Checkpoint {
		if random.IntN(2) == 0 {
			d.records = write.Records
		}
		return
	}
	d.records = append(d.records, write.Records[:random.IntN(len(write.Records)+1)]...)
}
