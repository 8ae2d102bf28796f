package archive

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/trailshed/trailshed/pkg/clock"
)

// A batch is a version byte, the size of its records, and groups of them. A group is a service,
// a software version, the number of its records and the records. A record is the low bits of its
// key, its lifetime and its send; what a later build may append to it is skipped.
const (
	batchVersion = 1
	keyBytes     = 6
	recordBytes  = keyBytes + 2
	// lifeUnit is the unit of lifetimes, which are rounded up.
	lifeUnit = 2 * time.Second
	maxLife  = math.MaxUint8 * lifeUnit
	maxSend  = math.MaxUint8
	// maxNameBytes bounds the name of a service and of a version.
	maxNameBytes = 255
	// maxGroups bounds what decoding a batch allocates. A service rarely has more than three
	// versions.
	maxGroups = 256
	// maxGroupHeadBytes is the size of the three numbers of a group at most.
	maxGroupHeadBytes = 3 * binary.MaxVarintLen16
	// keyMask selects the bits of a key that are kept. Among a million records, one of 280
	// million lookups of another key finds one by chance.
	keyMask = 1<<(8*keyBytes) - 1
)

var (
	errVersion = errors.New("batch of an unknown version")
	errDamaged = errors.New("damaged batch")
)

// origin says what began a stream.
type origin struct{ service, software string }

// entry is a record that waits to be written or may have to be written again.
type entry struct {
	key    uint64
	origin origin
	until  clock.Millis // its caller does not return later
	send   uint8
	stored bool // a write of it was acknowledged
}

// newEntry returns the entry of a record. Its lifetime is bounded by what a batch can say.
func newEntry(r Record, now clock.Millis) entry {
	return entry{
		key: r.Key, origin: origin{r.Service, r.Software},
		until: now.Add(min(r.Left, maxLife)), send: uint8(min(max(r.Send, 0), maxSend)),
	}
}

// encode returns the batch of those entries that have not expired.
func encode(entries []entry, now clock.Millis) []byte {
	var order []origin
	groups := map[origin][]byte{}
	for _, e := range entries {
		if now >= e.until {
			continue
		}
		records, known := groups[e.origin]
		if !known {
			order = append(order, e.origin)
		}
		groups[e.origin] = appendRecord(records, e, now)
	}
	data := []byte{batchVersion, recordBytes}
	for _, o := range order {
		data = appendName(appendName(data, o.service), o.software)
		data = binary.AppendUvarint(data, uint64(len(groups[o])/recordBytes))
		data = append(data, groups[o]...)
	}
	return data
}

func appendName(data []byte, name string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(name))), name...)
}

func appendRecord(data []byte, e entry, now clock.Millis) []byte {
	units := (e.until.Sub(now) + lifeUnit - 1) / lifeUnit
	var record [recordBytes + 2]byte // the key is put whole, then its high bits are overwritten
	binary.LittleEndian.PutUint64(record[:], e.key)
	record[keyBytes], record[keyBytes+1] = byte(units), e.send
	return append(data, record[:recordBytes]...)
}

// group is the records of one origin in a batch.
type group struct {
	origin  origin
	records []byte
	size    int // of a record
}

// decode returns the groups of a batch, which share its memory.
func decode(data []byte) (groups []group, err error) {
	if len(data) < 2 {
		return nil, errDamaged
	}
	if data[0] != batchVersion {
		return nil, errVersion
	}
	size := int(data[1])
	if size < recordBytes {
		return nil, errDamaged
	}
	for data = data[2:]; len(data) > 0; {
		g := group{size: size}
		var service, software []byte
		var ok [3]bool
		service, data, ok[0] = cut(data, 1)
		software, data, ok[1] = cut(data, 1)
		g.records, data, ok[2] = cut(data, size)
		if ok != [3]bool{true, true, true} || len(service) > maxNameBytes || len(software) > maxNameBytes || len(groups) == maxGroups {
			return nil, errDamaged
		}
		g.origin = origin{string(service), string(software)}
		groups = append(groups, g)
	}
	return groups, nil
}

// cut returns a part of data that is preceded by the number of its elements, and the rest.
func cut(data []byte, elementBytes int) (part, rest []byte, ok bool) {
	n, head := binary.Uvarint(data)
	if head <= 0 || n > uint64((len(data)-head)/elementBytes) {
		return nil, nil, false
	}
	end := head + int(n)*elementBytes
	return data[head:end], data[end:], true
}

// each calls do with the records of a group. Their keys have only the kept bits.
func (g group) each(do func(key uint64, left, send uint8)) {
	for records := g.records; len(records) >= g.size; records = records[g.size:] {
		var key [8]byte
		copy(key[:], records[:keyBytes])
		do(binary.LittleEndian.Uint64(key[:]), records[keyBytes], records[keyBytes+1])
	}
}
