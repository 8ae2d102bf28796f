package tunnel

import (
	"net/netip"
	"time"
)

// Destination is an endpoint to connect to.
type Destination struct {
	Address    netip.AddrPort `cbor:"1,keyasint"`
	EndpointID string         `cbor:"2,keyasint"`
	Service    string         `cbor:"5,keyasint"`
	// Request is the ID of the request for which the connection is used, for log lines.
	Request string `cbor:"3,keyasint,omitempty"`
	// MaxIdle is the longest time that a reused connection may have been idle.
	MaxIdle time.Duration `cbor:"4,keyasint,omitempty"`
}

// request asks a peer to connect to an endpoint.
type request struct {
	Destination Destination   `cbor:"1,keyasint"`
	Timeout     time.Duration `cbor:"2,keyasint"` // of the connection attempt
}

// outcome is a peer's answer to a request.
type outcome int

// The values of outcome.
const (
	connected   outcome = iota + 1 // the stream now carries the connection
	refused                        // the endpoint's host refuses connections to its port
	unreachable                    // the endpoint does not answer
	unknown                        // the peer does not know this endpoint
	full                           // the peer carries as many connections as it can
	leaving                        // the peer is shutting down
	cut                            // the peer has lost its own links to the endpoint's service
)

// response is a peer's answer to a request.
type response struct {
	Outcome outcome `cbor:"1,keyasint"`
	// Sound is set with refused and unreachable if the peer reached another endpoint of the
	// service at the same time, so that this one is at fault and not the peer's own links.
	Sound bool `cbor:"2,keyasint,omitempty"`
	// Referral names an instance through which the peer itself reaches endpoints.
	Referral string `cbor:"3,keyasint,omitempty"`
}
