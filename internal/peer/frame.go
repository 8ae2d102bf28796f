package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// maxFrame bounds what one message may occupy on the wire, in bytes.
const maxFrame = 4 << 20

// frame is one message on a stream: a length of four bytes, then CBOR.
type frame struct {
	UUID    string `cbor:"1,keyasint"`
	Topic   string `cbor:"2,keyasint"`
	ReplyTo string `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint"`
	Payload []byte `cbor:"5,keyasint"`
	Packed  bool   `cbor:"6,keyasint,omitempty"` // Payload is compressed
}

// packFrom is the length in bytes from which a payload is compressed. Lists of endpoints
// and instances are long and much alike.
const packFrom = 2 << 10

// pack compresses a payload that is worth it.
func pack(payload []byte) (out []byte, packed bool) {
	if len(payload) < packFrom {
		return payload, false
	}
	return s2.Encode(nil, payload), true
}

// unpack undoes pack.
func (f *frame) unpack() error {
	if !f.Packed {
		return nil
	}
	size, err := s2.DecodedLen(f.Payload)
	if err != nil {
		return Error.Wrap(err)
	}
	if size > maxFrame {
		return Error.New("payload of %d bytes is over the limit of %d", size, maxFrame)
	}
	f.Payload, err = s2.Decode(nil, f.Payload)
	f.Packed = false
	return Error.Wrap(err)
}

func writeFrame(w io.Writer, f frame) (int, error) {
	body, err := cbor.Marshal(f)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	packet := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+4), uint32(len(body)))
	n, err := w.Write(append(packet, body...))
	return n, Error.Wrap(err)
}

func readFrame(r io.Reader) (frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, Error.Wrap(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return frame{}, Error.New("frame of %d bytes is over the limit of %d", size, maxFrame)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return frame{}, Error.Wrap(err)
	}
	var f frame
	if err := cbor.Unmarshal(body, &f); err != nil {
		return frame{}, Error.Wrap(err)
	}
	return f, f.unpack()
}
