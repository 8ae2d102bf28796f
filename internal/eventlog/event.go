package eventlog

// Event is the kind of event that a line records.
type Event string

// Events of the process.
const (
	Started        Event = "started"
	Stopping       Event = "stopping"
	Stopped        Event = "stopped"
	Suspended      Event = "suspended"
	Reloaded       Event = "reloaded"
	ReloadRefused  Event = "reload_refused"
	LinesDropped   Event = "lines_dropped"
	StoreLost      Event = "store_lost"
	StoreRegained  Event = "store_regained"
	WatchFailed    Event = "watch_failed"
	HistoryLost    Event = "history_lost"
	PeerLost       Event = "peer_lost"
	PeerRegained   Event = "peer_regained"
	PeerTold       Event = "peer_told"
	Registered     Event = "registered"
	RegisterFailed Event = "register_failed"
	DutyTaken      Event = "duty_taken"
	DutyLost       Event = "duty_lost"
	Ordered        Event = "ordered"
	Unreadable     Event = "unreadable"
	Believed       Event = "believed"
	LinksLost      Event = "links_lost"
	LinksRegained  Event = "links_regained"
	TunnelServed   Event = "tunnel_served"
	Overloaded     Event = "overloaded"
	OverloadEnded  Event = "overload_ended"
	ListenFailed   Event = "listen_failed"
	RotationLeft   Event = "rotation_left"
	ServerError    Event = "server_error"
)

// Events of requests and endpoints.
const (
	Sent            Event = "sent"
	TunnelOpened    Event = "tunnel_opened"
	Placed          Event = "placed"
	PrefillFailed   Event = "prefill_failed"
	EndpointFailed  Event = "endpoint_failed"
	EndpointEjected Event = "endpoint_ejected"
	EndpointEnded   Event = "endpoint_ended"
	EndpointRests   Event = "endpoint_rests"
	EndpointLimited Event = "endpoint_limited"
	BudgetSpent     Event = "budget_spent"
	Repeated        Event = "repeated"
	Resumed         Event = "resumed"
	TakenUp         Event = "taken_up"
	Silent          Event = "silent"
	Moved           Event = "moved"
	Kept            Event = "kept"
	Waiting         Event = "waiting"
	Answered        Event = "answered"
	Refused         Event = "refused"
	GaveUp          Event = "gave_up"
	Broken          Event = "broken"
	Cancelled       Event = "cancelled"
	Panicked        Event = "panicked"
)
