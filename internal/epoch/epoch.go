// Package epoch orders the revisions of a store over its restores. A store that comes back from
// an older copy gives revisions out again, and begins another epoch with that. A position joins
// the two: positions of a later epoch follow all those of earlier ones. Positions of epoch 0 are
// plain revisions, as of a store that states no epoch.
package epoch

// revisionBits is the number of bits of a position that hold the revision. Revisions then reach
// 10^12, and 8,000 epochs fit into the integers that JSON's readers keep exactly.
const revisionBits = 40

// Join returns the position of a revision in an epoch.
func Join(epoch, revision int64) int64 { return epoch<<revisionBits | revision }

// Of returns the epoch of a position.
func Of(position int64) int64 { return position >> revisionBits }

// Revision returns the revision of a position within its epoch.
func Revision(position int64) int64 { return position & (1<<revisionBits - 1) }
