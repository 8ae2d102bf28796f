package cell

import "net/netip"

// Effect is an operation that the dispatcher must carry out after a decision.
type Effect interface{ effect() }

// SendGrant sends a grant to the entry that requested it.
type SendGrant struct {
	To    Owner
	Grant Grant
}

// SendRefusal sends a refusal to the entry that requested a grant.
type SendRefusal struct {
	To      Owner
	Refusal Refusal
}

// SendFenced tells an entry to stop an attempt.
type SendFenced struct {
	To     Owner
	Fenced Fenced
}

// SendUnknown tells an entry which attempts to request again.
type SendUnknown struct {
	To      Owner
	Unknown UnknownAttempts
}

// Cancel frees an attempt's memory at an endpoint. The result is applied as a
// Cancelled event.
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
