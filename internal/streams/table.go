package streams

import (
	"maps"

	"github.com/trailshed/trailshed/pkg/clock"
)

// maxRecords bounds the records that an instance keeps, at about 100 bytes each. It covers a
// thousand streams a second whose callers may return for 20 s.
const maxRecords = 20_000

// record is what is kept of one stream.
type record struct {
	origin Origin
	until  clock.Millis // its caller does not return later
	send   int          // number of the send, of builds that record each one: a later one replaces it
	own    bool         // it began at this instance
	bucket string       // of the routes that its request matched
}

// table holds records by the key of their stream.
type table struct{ records map[uint64]record }

// put keeps a record, unless one of a later send is known, and until the later of both times: a
// caller may return once more. It returns false if there is no room.
func (t *table) put(key uint64, r record) bool {
	before, known := t.records[key]
	if !known && len(t.records) >= maxRecords {
		return false
	}
	own, until := r.own || before.own, max(r.until, before.until)
	if known && before.send > r.send {
		r = before
	}
	r.own, r.until = own, until
	t.records[key] = r
	return true
}

// find returns the record of a stream.
func (t *table) find(now clock.Millis, key uint64) (r record, known bool) {
	r, known = t.records[key]
	return r, known && now < r.until
}

// expire drops the records of streams to which no caller returns any more.
func (t *table) expire(now clock.Millis) {
	maps.DeleteFunc(t.records, func(_ uint64, r record) bool { return now >= r.until })
}
