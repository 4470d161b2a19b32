package saved

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

// Format of a file of the LeavingLog: a header and then frames, big-endian.
//
//	header: magic (8) | generation (8) | length of the frames that a new generation begins with (4) | CRC-32C of all (4)
//	frame:  length of the body (4) | CRC-32C of length and body (4) | body, a nodepb.Instance
const (
	leavingMagic       = 0x6b726c656176696e
	leavingHeaderBytes = 24
	frameHeaderBytes   = 8
	maxInstanceBytes   = 1 << 20 // of one body

	// compactionBytes is the size from which a file is replaced by one without what has expired, unless
	// it began with more than half of what it has.
	compactionBytes = 256 << 10
)

// LeavingRetention is how long a broker is kept after it was last appended or read: longer than
// other nodes keep tombstones, and than a snapshot may be used in which the broker is still ready.
const LeavingRetention = 2 * time.Minute

// LeavingLog keeps on disk which brokers are draining or gone. Unlike File it is authoritative: what
// Append has returned without an error for is found by each later OpenLeaving.
//
// Appends go to the current one of two files. A new generation, with all that is still kept, goes to
// the other one, so that the current file stays intact until the new generation is durable. What a
// file holds besides (an older generation, the remains of a write that failed) is harmless: a broker
// that is draining or gone never becomes ready again. It is not safe for concurrent use.
type LeavingLog struct {
	dir        string
	now        func() time.Time // any steady clock
	kept       map[string]keptInstance
	generation uint64 // the highest that was read or written
	slot       int    // the current file
	size       int64  // of the current file
	beganWith  int64  // size of the current file as its generation was complete
	// rewrite: the next append begins a new generation, as the end of the current file isn't known.
	rewrite bool
}

// keptInstance is an instance in the log.
type keptInstance struct {
	instance  *nodepb.Instance
	keptSince time.Time
}

// OpenLeaving reads the log in a directory, without writing. It returns the instances in it. The
// error says that a file exists and can't be read.
func OpenLeaving(dir string, now func() time.Time) (*LeavingLog, []*nodepb.Instance, error) {
	log := &LeavingLog{dir: dir, now: now, kept: map[string]keptInstance{}, rewrite: true}
	var instances []*nodepb.Instance
	for slot := range slotCount {
		content, err := os.ReadFile(log.path(slot))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		generation, complete, found := readLeaving(content)
		if complete && generation > log.generation {
			log.generation, log.slot = generation, slot
		}
		instances = append(instances, found...)
	}
	log.keep(instances)
	return log, instances, nil
}

func (l *LeavingLog) path(slot int) string {
	return filepath.Join(l.dir, [slotCount]string{"leaving-a", "leaving-b"}[slot])
}

// keep adds instances to those kept. Of two states of a broker the later one is kept.
func (l *LeavingLog) keep(instances []*nodepb.Instance) {
	now := l.now()
	for _, instance := range instances {
		if known, ok := l.kept[instance.Id]; ok && known.instance.State > instance.State {
			continue
		}
		l.kept[instance.Id] = keptInstance{instance: instance, keptSince: now}
	}
}

// Append makes instances durable. After an error the next Append writes all that is kept again.
func (l *LeavingLog) Append(instances []*nodepb.Instance) error {
	l.keep(instances)
	if l.rewrite || l.size >= max(compactionBytes, 2*l.beganWith) {
		return l.writeGeneration()
	}
	frames, err := appendFrames(nil, instances)
	if err != nil {
		return err
	}
	if err := writeAt(l.path(l.slot), 0, l.size, frames); err != nil {
		l.rewrite = true
		return err
	}
	l.size += int64(len(frames))
	return nil
}

// writeGeneration writes all that has not expired to the file that isn't current, which then is.
func (l *LeavingLog) writeGeneration() error {
	now := l.now()
	var live []*nodepb.Instance
	for id, kept := range l.kept {
		if now.Sub(kept.keptSince) >= LeavingRetention {
			delete(l.kept, id)
			continue
		}
		live = append(live, kept.instance)
	}
	next := (l.slot + 1) % slotCount
	frames, err := appendFrames(nil, live)
	if err != nil {
		return err
	}
	content := append(leavingHeader(l.generation+1, len(frames)), frames...)
	if err := writeAt(l.path(next), os.O_CREATE|os.O_TRUNC, 0, content); err != nil {
		return err
	}
	l.generation++
	l.slot, l.size, l.beganWith, l.rewrite = next, int64(len(content)), int64(len(content)), false
	return nil
}

// writeAt writes and syncs a part of a file.
func writeAt(path string, flags int, offset int64, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|flags, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteAt(content, offset); err != nil {
		return err
	}
	return file.Sync()
}

func leavingHeader(generation uint64, frameBytes int) []byte {
	header := binary.BigEndian.AppendUint64(nil, leavingMagic)
	header = binary.BigEndian.AppendUint64(header, generation)
	header = binary.BigEndian.AppendUint32(header, uint32(frameBytes))
	return binary.BigEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// appendFrames appends a frame for each instance.
func appendFrames(to []byte, instances []*nodepb.Instance) ([]byte, error) {
	for _, instance := range instances {
		body, err := proto.Marshal(instance)
		if err != nil {
			return nil, err
		}
		if len(body) > maxInstanceBytes {
			return nil, fmt.Errorf("%w: save %s: %d bytes, the limit is %d", ErrUnusable, instance.Id, len(body), maxInstanceBytes)
		}
		length := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
		to = append(to, length...)
		to = binary.BigEndian.AppendUint32(to, frameChecksum(length, body))
		to = append(to, body...)
	}
	return to, nil
}

func frameChecksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// readLeaving returns the generation of a file, whether all that the generation began with is there,
// and the instances before the first damaged frame; 0 and none for a damaged header.
func readLeaving(content []byte) (generation uint64, complete bool, instances []*nodepb.Instance) {
	if len(content) < leavingHeaderBytes || binary.BigEndian.Uint64(content) != leavingMagic {
		return 0, false, nil
	}
	generation = binary.BigEndian.Uint64(content[8:])
	frameBytes := int(binary.BigEndian.Uint32(content[16:]))
	if string(leavingHeader(generation, frameBytes)) != string(content[:leavingHeaderBytes]) {
		return 0, false, nil
	}
	frames := content[leavingHeaderBytes:]
	rest := frames
	for {
		instance, size := readFrame(rest)
		if instance == nil {
			return generation, len(frames)-len(rest) >= frameBytes, instances
		}
		instances = append(instances, instance)
		rest = rest[size:]
	}
}

// readFrame returns the instance of the first frame and the size of that; nil where it is damaged or
// there is none.
func readFrame(content []byte) (*nodepb.Instance, int) {
	if len(content) < frameHeaderBytes {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(content))
	if length == 0 || length > maxInstanceBytes || frameHeaderBytes+length > len(content) {
		return nil, 0
	}
	body := content[frameHeaderBytes : frameHeaderBytes+length]
	if frameChecksum(content[:4], body) != binary.BigEndian.Uint32(content[4:]) {
		return nil, 0
	}
	instance := &nodepb.Instance{}
	if proto.Unmarshal(body, instance) != nil || instance.Id == "" {
		return nil, 0
	}
	return instance, frameHeaderBytes + length
}
