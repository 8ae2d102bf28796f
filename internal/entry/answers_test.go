package entry

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/claim"
	"github.com/trailshed/trailshed/internal/endpoint"
)

// Guards against a rejection that an earlier build kept as the answer of a call that ran: whoever
// repeats the key would be told that the call did not run.
func TestKeptRejectionIsNoAnswer(t *testing.T) {
	tests := []struct {
		status int
		want   bool
	}{
		{http.StatusOK, true},
		{http.StatusConflict, true},
		{http.StatusInternalServerError, true},
		{http.StatusRequestTimeout, false},
		{http.StatusMisdirectedRequest, false},
		{http.StatusTooManyRequests, false},
		{http.StatusServiceUnavailable, false},
	}
	for _, test := range tests {
		e := &Entry{answers: newAnswerStore(1)}
		e.answers.begin("r").end(endpoint.Response{Status: test.status}, true)
		_, ok := e.KeptAnswer(context.Background(), claim.Claim{Request: "r"})
		qt.Check(t, ok, qt.Equals, test.want, qt.Commentf("%d", test.status))
	}
}
