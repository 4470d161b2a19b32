// Package saved keeps a copy of the brokers known on a machine's disk, so that a node that starts again need not wait for
// their next heartbeats. The copy is a hint: every request names the broker that it expects (PROTOCOL.md,
// X-Kestrelspread-Expect-Instance), and heartbeats and other nodes correct it.
package saved

import (
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

const (
	// slots are written in turn, so that a write that is cut short leaves the copy before it.
	slots      = 2
	headerSize = 24 // magic, time of day, length, checksum
	magic      = 0x6b72656769737472
	maxBytes   = 4 << 20
)

// MaxAge is how old a copy may be to be used: gone brokers are remembered by other nodes for longer than that, so that an
// old copy does not bring them back.
const MaxAge = 40 * time.Second

var namespace = errorx.NewNamespace("registry_saved")

// ErrUnusable says that a copy is missing, damaged or too old.
var ErrUnusable = namespace.NewType("unusable")

var checksums = crc32.MakeTable(crc32.Castagnoli)

// File is the copy in a folder. Its methods are called by one goroutine at a time.
type File struct {
	dir  string
	next int
}

// Open names the copy in a folder; nothing is read or written yet.
func Open(dir string) *File { return &File{dir: dir} }

func (f *File) path(slot int) string {
	return filepath.Join(f.dir, [slots]string{"brokers-a", "brokers-b"}[slot])
}

// Save makes a copy durable. at is the time of day.
func (f *File) Save(instances []*nodepb.Instance, at time.Time) error {
	body, err := proto.Marshal(&nodepb.RegistrySnapshot{Instances: instances})
	if err != nil {
		return err
	}
	if len(body) > maxBytes {
		return ErrUnusable.New("%d bytes are more than a copy may have", len(body))
	}
	slot := f.next
	f.next = (f.next + 1) % slots
	return write(f.path(slot), append(header(body, at), body...))
}

func header(body []byte, at time.Time) []byte {
	head := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint64(head, magic)
	binary.BigEndian.PutUint64(head[8:], uint64(at.UnixMilli()))
	binary.BigEndian.PutUint32(head[16:], uint32(len(body)))
	sum := crc32.Update(crc32.Checksum(head[:20], checksums), checksums, body)
	binary.BigEndian.PutUint32(head[20:], sum)
	return head
}

func write(path string, content []byte) error {
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

// Load gives the newest copy that is whole and not older than MaxAge at the time of day `now`.
func (f *File) Load(now time.Time) ([]*nodepb.Instance, error) {
	var newest *nodepb.RegistrySnapshot
	var newestAt time.Time
	for slot := range slots {
		snapshot, at, err := read(f.path(slot))
		if err == nil && (newest == nil || at.After(newestAt)) {
			newest, newestAt = snapshot, at
			f.next = (slot + 1) % slots
		}
	}
	switch {
	case newest == nil:
		return nil, ErrUnusable.New("no whole copy")
	case now.Sub(newestAt).Abs() > MaxAge:
		return nil, ErrUnusable.New("the copy is of %v", newestAt)
	}
	return newest.Instances, nil
}

func read(path string) (*nodepb.RegistrySnapshot, time.Time, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	if len(content) < headerSize || binary.BigEndian.Uint64(content) != magic {
		return nil, time.Time{}, ErrUnusable.New("no header")
	}
	length := int(binary.BigEndian.Uint32(content[16:]))
	if length > maxBytes || headerSize+length > len(content) {
		return nil, time.Time{}, ErrUnusable.New("cut short")
	}
	body := content[headerSize : headerSize+length]
	sum := crc32.Update(crc32.Checksum(content[:20], checksums), checksums, body)
	if sum != binary.BigEndian.Uint32(content[20:]) {
		return nil, time.Time{}, ErrUnusable.New("wrong checksum")
	}
	snapshot := &nodepb.RegistrySnapshot{}
	if err := proto.Unmarshal(body, snapshot); err != nil {
		return nil, time.Time{}, err
	}
	return snapshot, time.UnixMilli(int64(binary.BigEndian.Uint64(content[8:]))), nil
}
