package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
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
	return f, nil
}
