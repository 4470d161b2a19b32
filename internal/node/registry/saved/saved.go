// Package saved keeps a snapshot of the known brokers on a machine's disk, so that a restarted node
// need not wait for their next heartbeats. It isn't authoritative: every request names the broker
// that it expects (PROTOCOL.md, X-Kestrelspread-Expect-Instance), and heartbeats and other nodes
// correct the snapshot.
//
// Two files are written in turn, so that a torn write leaves the snapshot before it readable. The
// file format is a header of headerSize bytes, big-endian, and a nodepb.RegistrySnapshot:
//
//	magic (8) | time of day, Unix ms (8) | length of the body (4) | CRC-32C of all else (4) | body
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

const (
	slotCount  = 2 // files written in turn
	headerSize = timeOffset + 16
	magic      = 0x6b72656769737472
	maxBytes   = 4 << 20 // of a body

	// Offsets in the header.
	timeOffset     = 8
	lengthOffset   = 16
	checksumOffset = 20
)

// MaxAge is the age up to which a snapshot is used. It is less than the time for which other nodes
// keep tombstones, so that an old snapshot does not revive a gone broker.
const MaxAge = 40 * time.Second

// ErrUnusable says that a snapshot is missing, damaged, too old or too large.
var ErrUnusable = errors.New("registry snapshot: unusable")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is the snapshot in a directory. It is not safe for concurrent use.
type File struct {
	dir      string
	nextSlot int // written next; never that of the newest complete snapshot
}

// Open returns the snapshot of a directory without reading or writing anything.
func Open(dir string) *File { return &File{dir: dir} }

func (f *File) path(slot int) string {
	return filepath.Join(f.dir, [slotCount]string{"brokers-a", "brokers-b"}[slot])
}

// Save writes a snapshot and syncs it to disk. savedAt is the time of day.
func (f *File) Save(instances []*nodepb.Instance, savedAt time.Time) error {
	body, err := proto.Marshal(&nodepb.RegistrySnapshot{Instances: instances})
	if err != nil {
		return err
	}
	if len(body) > maxBytes {
		return fmt.Errorf("%w: save snapshot: %d bytes, the limit is %d", ErrUnusable, len(body), maxBytes)
	}
	slot := f.nextSlot
	f.nextSlot = (f.nextSlot + 1) % slotCount
	return writeAndSync(f.path(slot), append(encodeHeader(body, savedAt), body...))
}

// encodeHeader returns the header of a body, with capacity for the body.
func encodeHeader(body []byte, savedAt time.Time) []byte {
	header := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint64(header, magic)
	binary.BigEndian.PutUint64(header[timeOffset:], uint64(savedAt.UnixMilli()))
	binary.BigEndian.PutUint32(header[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint32(header[checksumOffset:], checksum(header, body))
	return header
}

// checksum covers the header before the checksum's own field, and the body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:checksumOffset], castagnoli), castagnoli, body)
}

func writeAndSync(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteAt(content, 0); err != nil {
		return err
	}
	return file.Sync()
}

// Load returns the instances of the newest complete snapshot. It fails with ErrUnusable if there is
// none, or if the newest is more than MaxAge away from the time of day now.
func (f *File) Load(now time.Time) ([]*nodepb.Instance, error) {
	var newest *nodepb.RegistrySnapshot
	var newestAt time.Time
	for slot := range slotCount {
		snapshot, savedAt, err := readSnapshot(f.path(slot))
		if err == nil && (newest == nil || savedAt.After(newestAt)) {
			newest, newestAt = snapshot, savedAt
			f.nextSlot = (slot + 1) % slotCount
		}
	}
	switch {
	case newest == nil:
		return nil, fmt.Errorf("%w: load snapshot: no complete snapshot", ErrUnusable)
	case now.Sub(newestAt).Abs() > MaxAge:
		return nil, fmt.Errorf("%w: load snapshot: the newest was saved at %v", ErrUnusable, newestAt)
	}
	return newest.Instances, nil
}

// readSnapshot reads and checks one file.
func readSnapshot(path string) (*nodepb.RegistrySnapshot, time.Time, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	if len(content) < headerSize || binary.BigEndian.Uint64(content) != magic {
		return nil, time.Time{}, fmt.Errorf("%w: read %s: no header", ErrUnusable, path)
	}
	length := int(binary.BigEndian.Uint32(content[lengthOffset:]))
	if length > maxBytes || headerSize+length > len(content) {
		return nil, time.Time{}, fmt.Errorf("%w: read %s: truncated", ErrUnusable, path)
	}
	body := content[headerSize : headerSize+length]
	if checksum(content, body) != binary.BigEndian.Uint32(content[checksumOffset:]) {
		return nil, time.Time{}, fmt.Errorf("%w: read %s: wrong checksum", ErrUnusable, path)
	}
	snapshot := &nodepb.RegistrySnapshot{}
	if err := proto.Unmarshal(body, snapshot); err != nil {
		return nil, time.Time{}, err
	}
	return snapshot, time.UnixMilli(int64(binary.BigEndian.Uint64(content[timeOffset:]))), nil
}
