package keepalive

import "github.com/uber-go/tally/v4"

// CountUnanswered returns a function for Connections.OnUnanswered that counts requests by the reason why they ended
// without an answer, or with a part of one.
func CountUnanswered(scope tally.Scope) func(reason string, begun bool) {
	return func(reason string, begun bool) {
		name := "requests_unanswered"
		if begun {
			name = "answers_cut"
		}
		scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
	}
}
