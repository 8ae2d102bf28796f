package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against memory that is taken for a frame because of its length alone: a peer may open many streams and
// send no more than a length on each.
func TestFrameMemory(t *testing.T) {
	const claims, maxBytes = 50, 64 << 10 // bytes per claim
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range claims {
		_, err := readFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxFrame)))
		c.Assert(err, qt.IsNotNil)
	}
	runtime.ReadMemStats(&after)
	each := (after.TotalAlloc - before.TotalAlloc) / claims
	c.Assert(each <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", each))
}

// Guards against bytes that are no frame, and against a bound that long frames do not fit into.
func TestFrameBounds(t *testing.T) {
	endless := strings.NewReader(strings.Repeat("x", 16<<20))
	whole := func(payload []byte) io.Reader {
		var b bytes.Buffer
		_, err := writeFrame(&b, frame{Topic: "t", Payload: payload})
		qt.Assert(t, err, qt.IsNil)
		return &b
	}
	tests := []struct {
		name string
		from io.Reader
		ok   bool
	}{
		{"short frame", whole([]byte("x")), true},
		{"long frame", whole(bytes.Repeat([]byte("x"), maxFrame-1024)), true},
		{"frame over the bound", whole(bytes.Repeat([]byte("x"), maxFrame)), false},
		{"no frame", endless, false},
		{"unfinished frame", io.LimitReader(whole(make([]byte, 1000)), 500), false},
		{"no bytes", strings.NewReader(""), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := readFrame(test.from)
			qt.Check(t, err == nil, qt.Equals, test.ok, qt.Commentf("%v", err))
		})
	}
	qt.Check(t, endless.Len() > 15<<20, qt.IsTrue) // nothing is read beyond a length that is too large
}
