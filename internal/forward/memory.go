package forward

import "io"

// errMemoryFull is returned when BodyMemory is exhausted.
var errMemoryFull = Error.New("the memory for bodies is exhausted")

// reserveMemory reserves memory for a body until the request ends. It counts bytes that
// have not arrived yet as well: a caller that sends slowly holds as much memory as one that
// waits for its answer.
func (p *proxyRequest) reserveMemory(bytes int64) bool {
	if p.bodyBytes.Add(bytes) > p.BodyMemory && bytes > 0 {
		p.bodyBytes.Add(-bytes)
		return false
	}
	p.reservedBytes += bytes
	return true
}

// releaseMemory releases all memory that the request reserved.
func (p *proxyRequest) releaseMemory() {
	p.bodyBytes.Add(-p.reservedBytes)
	p.reservedBytes = 0
}

// memoryReader reads a body of unknown length and reserves memory for each part.
type memoryReader struct {
	io.Reader
	p *proxyRequest
}

func (m memoryReader) Read(b []byte) (int, error) {
	n, err := m.Reader.Read(b)
	if !m.p.reserveMemory(int64(n)) {
		return n, errMemoryFull
	}
	return n, err
}
