package cell

import "net/netip"

// Effect is what the dispatcher must do after a decision.
type Effect interface{ effect() }

// SendGrant sends a grant to the entry that asked.
type SendGrant struct {
	To    Owner
	Grant Grant
}

// SendRefusal sends a refusal to the entry that asked.
type SendRefusal struct {
	To      Owner
	Refusal Refusal
}

// SendFenced tells an entry to stop an attempt.
type SendFenced struct {
	To     Owner
	Fenced Fenced
}

// SendUnknown tells an entry which attempts to ask again.
type SendUnknown struct {
	To      Owner
	Unknown Unknown
}

// Cancel frees an attempt's memory at an endpoint. Its result comes back as
// Cancelled.
type Cancel struct {
	Endpoint string
	Address  netip.AddrPort
	Attempt  AttemptID
}

func (SendGrant) effect()   {}
func (SendRefusal) effect() {}
func (SendFenced) effect()  {}
func (SendUnknown) effect() {}
func (Cancel) effect()      {}
