package uplink

import "github.com/trailshed/trailshed/internal/obsfold"

// MaxHeadBytes bounds the head of a response together with the interim responses before it. Parsed, a head
// of short lines takes about ten times the memory.
const MaxHeadBytes = 32 << 10

// errLongHead is the error of a head that exceeds MaxHeadBytes.
var errLongHead = Error.New("the head of a response exceeds %d bytes", MaxHeadBytes)

// headReader reads from a connection and bounds what is read for a head. A buffered reader on top of it reads
// ahead, so the bound includes up to readBufferSize bytes of the body.
type headReader struct {
	*obsfold.Reader
	inHead bool
	left   int // bytes that may be read while inHead is set
}

// begin is called before a head is read, and end after it. buffered is what was read ahead of it.
func (h *headReader) begin(buffered []byte) error {
	h.inHead, h.left = true, MaxHeadBytes
	return h.ExpectHead(buffered)
}

func (h *headReader) end() { h.inHead = false }

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if !h.inHead {
		return h.Reader.Read(b)
	}
	if h.left == 0 {
		return 0, errLongHead
	}
	n, err := h.Reader.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}
