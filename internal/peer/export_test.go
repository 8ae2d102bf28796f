package peer

// Kill ends a transport as a loss of power does, without notifying its peers.
func (t *Transport) Kill() { _ = t.quic.Conn.Close() }
