package archive

import (
	"slices"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

const (
	// segmentTime is for how long records are added to a segment, each time with a write of all
	// of it.
	segmentTime = 4 * time.Second
	// smallSegment is how many records a segment may have and be used for longer: the rest of
	// its item and of the call is as large. It keeps an instance with few records at one key.
	smallSegment = 128
	// maxSegmentBytes bounds a batch, to 1,280 records. The store takes values of 1 MB, but each
	// write of a segment is sent to all instances that watch the store.
	maxSegmentBytes = 10 << 10
	// maxSegments bounds the keys of an instance. Only as many are in use as have records that
	// count: about those of the longest wait of callers in segmentTime.
	maxSegments = 24
	// slotRest is how long after a write without an answer its slot is not used: the store may
	// still carry out the write, which would replace a later one.
	slotRest = 10 * time.Second
)

// segment is the records that are written together.
type segment struct {
	slot       int
	begunAt    clock.Millis
	entries    []entry
	groups     map[origin]bool
	bytes      int          // of its batch, at most
	dirty      bool         // the store may lack some of it
	dirtySince clock.Millis // since when
}

// add adds an entry if there is room for it.
func (s *segment) add(now clock.Millis, e entry) bool {
	bytes := recordBytes
	if !s.groups[e.origin] {
		bytes += maxGroupHeadBytes + len(e.origin.service) + len(e.origin.software)
	}
	if s.bytes+bytes > maxSegmentBytes || len(s.groups) == maxGroups && !s.groups[e.origin] {
		return false
	}
	if s.groups == nil {
		s.groups = map[origin]bool{}
	}
	s.groups[e.origin] = true
	s.bytes += bytes
	s.entries = append(s.entries, e)
	s.touch(now)
	return true
}

// touch marks the segment as one to be written.
func (s *segment) touch(now clock.Millis) {
	if !s.dirty {
		s.dirty, s.dirtySince = true, now
	}
}

// expire drops the entries of streams to which no caller returns any more.
func (s *segment) expire(now clock.Millis) {
	before := len(s.entries)
	s.entries = slices.DeleteFunc(s.entries, func(e entry) bool { return now >= e.until })
	if len(s.entries) == before {
		return
	}
	s.groups, s.bytes = map[origin]bool{}, len(s.entries)*recordBytes
	for _, e := range s.entries {
		if !s.groups[e.origin] {
			s.groups[e.origin] = true
			s.bytes += maxGroupHeadBytes + len(e.origin.service) + len(e.origin.software)
		}
	}
}

// segmentSet is the segments of an instance.
type segmentSet struct {
	segments [maxSegments]segment
	current  int
	resting  map[int]clock.Millis // when slots may be used again
}

func newSegmentSet() *segmentSet {
	t := &segmentSet{resting: map[int]clock.Millis{}}
	for i := range t.segments {
		t.segments[i].slot = i
	}
	return t
}

// add adds an entry to the current segment or, if that one is over, to the one with the fewest
// records that count, which are kept. It returns false if there is no room.
func (t *segmentSet) add(now clock.Millis, e entry) bool {
	s := &t.segments[t.current]
	if len(s.entries) == 0 {
		s.begunAt = now
	}
	over := len(s.entries) >= smallSegment && now.Sub(s.begunAt) >= segmentTime
	if !over && s.add(now, e) {
		return true
	}
	t.expire(now)
	next := 0
	for i := range t.segments {
		if t.segments[i].bytes < t.segments[next].bytes {
			next = i
		}
	}
	if s = &t.segments[next]; !s.add(now, e) {
		return false
	}
	t.current, s.begunAt = next, now
	return true
}

// expire drops what has expired and reports whether anything is left.
func (t *segmentSet) expire(now clock.Millis) (left bool) {
	for i := range t.segments {
		s := &t.segments[i]
		s.expire(now)
		s.dirty = s.dirty && len(s.entries) > 0
		left = left || len(s.entries) > 0
	}
	return left
}

// due returns the segment that has been waiting to be written for the longest time; nil if there
// is none.
func (t *segmentSet) due() (s *segment) {
	for n := range maxSegments {
		candidate := &t.segments[(t.current+n)%maxSegments]
		if candidate.dirty && (s == nil || candidate.dirtySince < s.dirtySince) {
			s = candidate
		}
	}
	return s
}

// move gives a segment another slot, as a write to its own may still be carried out.
func (t *segmentSet) move(s *segment, now clock.Millis) {
	t.resting[s.slot] = now.Add(slotRest)
	for slot := 0; ; slot++ {
		if now >= t.resting[slot] && !slices.ContainsFunc(t.segments[:], func(o segment) bool { return o.slot == slot }) {
			delete(t.resting, slot)
			s.slot = slot
			return
		}
	}
}

// touchAll marks all segments as ones to be written.
func (t *segmentSet) touchAll(now clock.Millis) {
	for i := range t.segments {
		if s := &t.segments[i]; len(s.entries) > 0 {
			s.touch(now)
		}
	}
}
