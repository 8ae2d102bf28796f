package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os/user"
	"time"

	"github.com/trailshed/trailshed/internal/node"
	"github.com/trailshed/trailshed/internal/query"
)

const remoteTimeout = 15 * time.Second

// remote is how a command reaches a running process.
type remote struct {
	Admin string `short:"a" long:"admin" env:"TRAILSHED_ADMIN" default:"127.0.0.1:7200" value-name:"ADDRESS" description:"operators' address of any process"`
	Token string `short:"t" long:"token" env:"TRAILSHED_TOKEN" value-name:"SECRET" description:"operators' token"`
	Who   string `long:"as" env:"TRAILSHED_AS" value-name:"NAME" description:"name for the audit trail"`
	JSON  bool   `long:"json" description:"print JSON instead of a table"`
}

// send runs a statement on the process and returns its answer.
func (r *remote) send(text string, base int64) (query.Table, error) {
	var t query.Table
	body, err := json.Marshal(node.Statement{Text: text, Who: r.who(), Base: base})
	if err != nil {
		return t, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Admin+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return t, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+r.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return t, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var f node.Failure
		if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
			return t, Error.New("%s", resp.Status)
		}
		return t, Error.New("%s", f.Error)
	}
	return t, Error.Wrap(json.NewDecoder(resp.Body).Decode(&t))
}

func (r *remote) who() string {
	if r.Who != "" {
		return r.Who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (r *remote) print(t query.Table) error {
	if r.JSON {
		out := json.NewEncoder(Output)
		out.SetIndent("", "  ")
		return Error.Wrap(out.Encode(t))
	}
	return t.Write(Output)
}
