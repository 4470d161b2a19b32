// Package journal keeps the durable records of a node that votes in the quorum, in a ring of
// preallocated files. No other package writes what a voter of the control state promised, accepted
// or committed.
//
// It isn't a log with random access: records are read once, in Open, and their meaning is up to the
// state machines that write them (see package core). It elects nobody and replicates nothing.
//
// Invariants:
//   - A record that Append or Checkpoint reported as durable is found by every later Open until a
//     checkpoint replaces it, or Open reports damage.
//   - A record that Open didn't return, though the journal was healthy, is never returned later.
//   - After a crash Open finds the newest complete checkpoint and a prefix of the records appended
//     to it.
//
// # What is on the disk
//
// Each file of the ring, a segment, holds one generation: a start frame, the records of a
// checkpoint, and the records appended after it. The next checkpoint begins the next generation in
// the next file of the ring, so that the previous one stays intact until the new one is durable.
// The newest generation whose checkpoint is complete is the journal's state.
//
// A frame is a header of 64 bytes and a payload, both with a CRC32C. Its header names the
// generation, the sequence number within it, and the attempt to write: a random number that changes
// at every start of the process and after every failed write. A frame is read only where it follows
// the frame before it in all three, so that neither bytes of an earlier pass through the ring nor
// remains of an abandoned write are ever read as records.
//
// # Durability
//
// Append and Checkpoint return nil only once a sync has covered their records and, for a new file,
// a sync of the directory has covered its name. After a failed write the state of its bytes is
// unknown: they are written again from the last position that is known to be durable, as a second
// sync of the same bytes would prove nothing.
//
// A killed process leaves pages in the system's cache that may differ from the disk, most of all
// after a failed sync. So before Open returns, it makes the disk hold what it has read: it writes
// the last batch again (the bytes before it had been durable when it was written), clears the
// header of the next frame, and voids the other segments. Where the disk refuses this, Healthy is
// false until a later write has done it.
//
// Source: DEPLOY.md, "Disk" and "Settings of a process".
//
// # Identity
//
// The start frame holds the identity of the disk: a random id, drawn at the first start. A damaged
// journal (records that had been durable can't be read) gets a new identity and begins empty: a
// voter that has lost a part of its promises must not vote as the same voter.
package journal
