package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/settings"
)

// good is a complete settings file; each test replaces one line of it.
const good = `node:
  id: n1
  zone: a
peers:
  listen: 127.0.0.1:7001
  ca: CA
  certificate: CA
  key: CA
callers:
  listen: 127.0.0.1:7101
admin:
  listen: 127.0.0.1:7201
  token: t
platform:
  address: 127.0.0.1:7900
`

func TestParse(t *testing.T) {
	ca := filepath.Join(t.TempDir(), "ca.pem")
	qt.Assert(t, os.WriteFile(ca, []byte("x"), 0o600), qt.IsNil)
	tests := []struct {
		name string
		old  string
		new  string
		want []string // substrings of the error; nil if the file is valid
	}{
		{"good", "", "", nil},
		{"unknown key", "  zone: a", "  zoen: a", []string{"f.yaml:3: ", "unknown field", `"zoen"`}},
		{"host name instead of IP address", "127.0.0.1:7101", "localhost:7101", []string{"f.yaml:10", "callers.listen", "localhost:7101"}},
		{"empty zone", "  zone: a", "  zone: ''", []string{"f.yaml:3", "node.zone", "must not be empty"}},
		{"missing certificate", "  key: CA", "  key: /nowhere", []string{"f.yaml:8", "peers.key", "/nowhere"}},
		{"policy", "platform:", "dispatch:\n  policy: best\nplatform:", []string{"f.yaml:15", "dispatch.policy", "best", "joint"}},
		{"duration", "platform:", "claims:\n  interval: 1h\nplatform:", []string{"f.yaml:15", "claims.interval", "1h0m0s"}},
		{"wrong type", "platform:", "claims:\n  shards: many\nplatform:", []string{"f.yaml:15: ", `"many"`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.ReplaceAll(strings.Replace(good, test.old, test.new, 1), "CA", ca)
			_, err := settings.Parse("f.yaml", []byte(text))
			if test.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			for _, part := range test.want {
				c.Assert(err.Error(), qt.Contains, part)
			}
		})
	}
}
