// Package fencedir is a fenced receiver that is a directory, perhaps on a disk that several
// machines share: numbered versions, each made by a link that fails where the number is taken. So
// the check of the token and the effect are one step, whoever else writes: a holder that read the
// versions, was paused and wrote finds its number taken, reads again, and learns that its token
// is stale.
//
// File names and their JSON are a format that other programs read.
package fencedir

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"kestrelspread/internal/fleet/lease/fence"
)

// Version is one file: an effect, or only a newer token for an effect that was done before.
type Version struct {
	Role      string          `json:"duty"`
	Token     uint64          `json:"token"`
	Key       string          `json:"key"`
	TokenOnly bool            `json:"seen,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Receiver is a directory. One goroutine uses it; other processes may use the same directory.
type Receiver struct {
	dir         string
	lastVersion uint64 // read so far
	fenceState  fence.State
	beforeWrite func() // in tests: others write between the check and the write
}

var _ fence.Receiver = (*Receiver)(nil)

// Open reads a directory, or makes it.
func Open(dir string) (*Receiver, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("open fenced directory: %w", err)
	}
	r := &Receiver{dir: dir}
	return r, r.readNewVersions()
}

func versionPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("v%012d.json", number))
}

// readVersion reads one version; exists false: it has not been written.
func readVersion(dir string, number uint64) (v Version, exists bool, err error) {
	path := versionPath(dir, number)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return v, false, nil
	}
	if err != nil {
		return v, false, err
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return v, false, fmt.Errorf("%s: %w", path, err)
	}
	return v, true, nil
}

// ReadVersions returns all versions of a directory, in order.
func ReadVersions(dir string) (versions []Version, err error) {
	for number := uint64(1); ; number++ {
		v, exists, err := readVersion(dir, number)
		if err != nil || !exists {
			return versions, err
		}
		versions = append(versions, v)
	}
}

// readNewVersions takes up the versions written since the last time.
func (r *Receiver) readNewVersions() error {
	for {
		next := r.lastVersion + 1
		v, exists, err := readVersion(r.dir, next)
		if err != nil || !exists {
			return err
		}
		if _, err := r.fenceState.Admit(fence.Effect{Role: v.Role, Token: v.Token, Key: v.Key}); err != nil {
			return fmt.Errorf("%s: %w", versionPath(r.dir, next), err)
		}
		r.lastVersion = next
	}
}

// Apply does an effect once (fence.Receiver). Its body has to be JSON.
func (r *Receiver) Apply(e fence.Effect) (done bool, err error) {
	if len(e.Body) > 0 && !json.Valid(e.Body) {
		return false, errors.New("the effect's body is no JSON")
	}
	for {
		if err := r.readNewVersions(); err != nil {
			return false, err
		}
		done, newer, err := r.fenceState.Check(e)
		if err != nil {
			return false, err
		}
		if done && !newer {
			return true, nil
		}
		if r.beforeWrite != nil {
			r.beforeWrite()
		}
		v := Version{Role: e.Role, Token: e.Token, Key: e.Key, TokenOnly: done}
		if !done {
			v.Body = e.Body
		}
		taken, err := r.writeVersion(r.lastVersion+1, v)
		if err != nil {
			return false, err
		}
		if !taken {
			return done, r.readNewVersions()
		}
	}
}

// writeVersion makes a version durable as a whole, or finds its number taken: the file is written
// and synced under another name first, and link fails where the name is taken.
func (r *Receiver) writeVersion(number uint64, v Version) (taken bool, err error) {
	text, err := json.Marshal(v)
	if err != nil {
		return false, err
	}
	temp, err := r.writeTemp(append(text, '\n'))
	if temp != "" {
		defer os.Remove(temp)
	}
	if err != nil {
		return false, err
	}
	err = os.Link(temp, versionPath(r.dir, number))
	if errors.Is(err, fs.ErrExist) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	return false, r.syncDir()
}

// writeTemp writes and syncs a temporary file, and returns its name, which the caller removes.
func (r *Receiver) writeTemp(text []byte) (name string, err error) {
	f, err := os.CreateTemp(r.dir, "new-*.tmp")
	if err != nil {
		return "", err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	return f.Name(), errors.Join(err, f.Close())
}

// syncDir makes a new name durable.
func (r *Receiver) syncDir() error {
	d, err := os.Open(r.dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
