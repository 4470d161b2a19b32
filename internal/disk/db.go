package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// What Unseal finds.
var (
	ErrTorn  = errors.New("a record is torn or was changed")
	ErrNewer = errors.New("a record of a newer program")
)

// Seal puts a version and a checksum before a payload of a kind.
func Seal(version, kind byte, payload []byte) []byte {
	b := append(make([]byte, 0, len(payload)+10), version, kind)
	b = append(b, checksum(kind, version, payload)...)
	return append(b, payload...)
}

// Unseal checks a record, of a version up to one, and gives its payload and version.
func Unseal(version, kind byte, b []byte) (payload []byte, v byte, err error) {
	if len(b) < 10 || b[1] != kind {
		return nil, 0, ErrTorn
	}
	if b[0] > version {
		return nil, 0, fmt.Errorf("%w: version %d", ErrNewer, b[0])
	}
	if !bytes.Equal(checksum(kind, b[0], b[10:]), b[2:10]) {
		return nil, 0, ErrTorn
	}
	return b[10:], b[0], nil
}

// checksum is the checksum of a record's payload, its kind and version.
func checksum(kind, v byte, payload []byte) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(payload)^uint64(kind)<<8^uint64(v))
}

// silentLogger keeps the store's own words out of the log. Fatalf is for what Disk keeps from it; should it come all the same, the
// goroutine stands still and the broker goes on.
type silentLogger struct{ disk *Disk }

// Infof writes nothing.
func (silentLogger) Infof(string, ...any) {}

// Errorf writes nothing.
func (silentLogger) Errorf(string, ...any) {}

// Fatalf keeps the text as the disk's fault, stops the disk and never returns.
func (q silentLogger) Fatalf(form string, args ...any) {
	text := fmt.Sprintf(form, args...)
	q.disk.Fault.Store(&text)
	q.disk.Stopped.Store(true)
	q.disk.block()
}

// DB is an open store. A second process that opens it is refused.
type DB struct {
	*pebble.DB
	Disk  *Disk
	cache *pebble.Cache
}

// Open opens a store, or makes one; memory is that of its table and of its cache, in bytes each.
func Open(fs vfs.FS, dir string, memory int64) (*DB, error) {
	db := &DB{Disk: New(fs), cache: pebble.NewCache(memory)}
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	db.DB, err = pebble.Open(dir, &pebble.Options{FS: db.Disk, Cache: db.cache, MemTableSize: uint64(memory), Logger: silentLogger{db.Disk},
		FormatMajorVersion: pebble.FormatNewest, MaxOpenFiles: 64})
	if err != nil {
		db.cache.Unref()
		return nil, err
	}
	return db, nil
}

// Close ends it. After a failed sync it is left as it is: there is nothing that could be made durable.
func (db *DB) Close() error {
	if db.Disk.Stopped.Load() {
		return errors.New("the disk has failed; the store was not closed")
	}
	err := db.DB.Close()
	db.cache.Unref()
	return err
}
