package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Errors of Unseal.
var (
	ErrTorn  = errors.New("a record is torn or was changed")
	ErrNewer = errors.New("a record of a newer program")
)

// A record is one byte of version, one of kind, and the checksum, then the payload.
const (
	checksumOffset = 2
	payloadOffset  = checksumOffset + 8
)

// Seal puts a version, a kind and a checksum before a payload.
func Seal(version, kind byte, payload []byte) []byte {
	record := append(make([]byte, 0, payloadOffset+len(payload)), version, kind)
	record = append(record, checksum(kind, version, payload)...)
	return append(record, payload...)
}

// Unseal checks a record of a kind, of maxVersion or an older one, and returns its payload and version.
func Unseal(maxVersion, kind byte, record []byte) (payload []byte, version byte, err error) {
	if len(record) < payloadOffset || record[1] != kind {
		return nil, 0, ErrTorn
	}
	version, payload = record[0], record[payloadOffset:]
	if version > maxVersion {
		return nil, 0, fmt.Errorf("%w: version %d", ErrNewer, version)
	}
	if !bytes.Equal(checksum(kind, version, payload), record[checksumOffset:payloadOffset]) {
		return nil, 0, ErrTorn
	}
	return payload, version, nil
}

// checksum covers a record's payload, kind and version.
func checksum(kind, version byte, payload []byte) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(payload)^uint64(kind)<<8^uint64(version))
}
