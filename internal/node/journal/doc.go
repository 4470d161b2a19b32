// Package journal keeps records on the disk of a machine that counts for the quorum, in a ring of preallocated files.
//
// # What is on the disk
//
// Each file of the ring, a segment, holds one generation: a start frame, the records of a checkpoint, and the records
// appended after it. The next checkpoint begins the next generation in the next file of the ring, so that the one before
// stays whole until the new one is durable. The newest generation whose checkpoint is complete is the journal's state.
//
// A frame is a header of 64 bytes and a payload, both with a CRC32C. Its header names the generation, the sequence
// number within it, and the attempt to write: a random number that changes at every start of the process and after every
// failed write. A frame is read only where it follows the frame before it in all three, so that neither bytes of an
// earlier round of the ring nor remains of a write that was given up are ever taken for records.
//
// # What lasts
//
// Append and Checkpoint return nil only once a sync has covered their records and, for a new file, a sync of the folder
// has covered its name. After a failed write nothing is known of its bytes: they are written again from the last position
// that is known to be durable, as a second sync of the same bytes would prove nothing.
//
// A process that is killed leaves in the system's memory what may differ from the disk, most of all after a failed sync.
// So before Open returns, the disk is made to hold what was read: the last batch is written again (what stands before it
// had been durable when it was written), the place of the next frame is cleared, and the other segments are voided. Where
// the disk refuses this, Healthy is false until a write has made up for it.
//
// Source: DEPLOY.md, "Disk" and "Settings of a process".
//
// # Identity
//
// The start frame names the disk: a random id, chosen at the first start. A journal that turns out to be damaged (records
// that had been durable can't be read) gets a new identity and begins empty: a voter must not act as its former self
// with a part of its memory.
package journal
