package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/gateway"
)

const good = `instance: {name: n1, zone: a}
callers: {listen: "10.0.0.1:80", ready: "10.0.0.1:81"}
peers: {listen: "10.0.0.1:7000"}
admin: {listen: "10.0.0.1:9464"}
store: {address: "10.9.0.1:1"}
retry: {ratio: 0.3, slack: 56, window: 10s}
stop: {grace: 8s}
memory: {limit_mb: 134}
`

func TestParseSettings(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"good", "", "", ""},
		{"unknown keys are ignored", "stop:", "future: {x: 1}\nstop:", ""},
		{"field missing", "name: n1, ", "", "instance.name: \"\" breaks the rule required"},
		{"not an address", "10.0.0.1:80\"", "somewhere\"", "callers.listen: \"somewhere\""},
		{"wrong type", "ratio: 0.3", "ratio: much", "ratio"},
		{"negative", "slack: 56", "slack: -1", "retry.slack: \"-1\" breaks the rule min 0"},
		{"no duration", "grace: 8s", "grace: soon", "soon"},
		{"not YAML", "stop:", "stop: [", "must be specified"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := gateway.ParseSettings("f.yaml", []byte(strings.Replace(good, test.old, test.new, 1)))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(s.Retry.Ratio, qt.Equals, 0.3)
				c.Assert(s.Store.Timeout, qt.Equals, time.Second) // the default
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*f.yaml.*"+test.want+".*")
		})
	}
}
