package peer

// Lose ends a transport as a loss of power does: nobody is told.
func (t *Transport) Lose() { _ = t.quic.Conn.Close() }
