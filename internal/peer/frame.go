package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// maxFrame bounds the size of an encoded frame, and of a decompressed payload, in bytes.
const maxFrame = 4 << 20

// frame is one message on a stream. It is encoded as a length of four bytes and CBOR.
type frame struct {
	UUID       string `cbor:"1,keyasint"`
	Topic      string `cbor:"2,keyasint"`
	ReplyTo    string `cbor:"3,keyasint,omitempty"`
	Address    string `cbor:"4,keyasint"`
	Payload    []byte `cbor:"5,keyasint"`
	Compressed bool   `cbor:"6,keyasint,omitempty"` // Payload is compressed

	// connected is set in a frame that is not sent: it only asks for a connection and receives
	// the result. Its capacity is one.
	connected chan<- error
}

// minCompressSize is the length in bytes from which a payload is compressed. Lists of
// endpoints and instances are long and repetitive.
const minCompressSize = 2 << 10

// compress compresses a payload of at least minCompressSize bytes.
func compress(payload []byte) (out []byte, compressed bool) {
	if len(payload) < minCompressSize {
		return payload, false
	}
	return s2.Encode(nil, payload), true
}

// decompress reverses compress.
func (f *frame) decompress() error {
	if !f.Compressed {
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
	f.Compressed = false
	return Error.Wrap(err)
}

func writeFrame(w io.Writer, f frame) (int, error) { return writeValue(w, f) }

func readFrame(r io.Reader) (frame, error) {
	var f frame
	if err := readValue(r, maxFrame, &f); err != nil {
		return frame{}, err
	}
	return f, f.decompress()
}

// writeValue writes v as a length of four bytes and CBOR, in one call.
func writeValue(w io.Writer, v any) (int, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	packet := binary.BigEndian.AppendUint32(make([]byte, 0, len(body)+4), uint32(len(body)))
	n, err := w.Write(append(packet, body...))
	return n, Error.Wrap(err)
}

// maxEagerBytes bounds the memory that is taken for a value before its bytes have arrived.
const maxEagerBytes = 16 << 10

// readValue reads what writeValue wrote into v, and no byte beyond it.
func readValue(r io.Reader, limit uint32, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Error.Wrap(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > limit {
		return Error.New("%d bytes are over the limit of %d", size, limit)
	}
	var body bytes.Buffer
	body.Grow(int(min(size, maxEagerBytes)) + bytes.MinRead)
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(cbor.Unmarshal(body.Bytes(), v))
}
