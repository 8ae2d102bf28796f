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

const adminTimeout = 15 * time.Second

// adminClient sends statements to the admin address of a running process. Its options
// are shared by all commands that embed it.
type adminClient struct {
	Admin    string `short:"a" long:"admin" env:"TRAILSHED_ADMIN" default:"127.0.0.1:7200" value-name:"ADDRESS" description:"operators' address of any process"`
	Token    string `short:"t" long:"token" env:"TRAILSHED_TOKEN" value-name:"SECRET" description:"operators' token"`
	Operator string `long:"as" env:"TRAILSHED_AS" value-name:"NAME" description:"name for the audit trail"`
	JSON     bool   `long:"json" description:"print JSON instead of a table"`
}

// send runs a statement on the process and returns its answer.
func (c *adminClient) send(text string, base int64) (query.Table, error) {
	var t query.Table
	body, err := json.Marshal(node.Statement{Text: text, Who: c.operator(), Base: base})
	if err != nil {
		return t, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Admin+"/v1/statements", bytes.NewReader(body))
	if err != nil {
		return t, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
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

// operator returns the name for the audit trail: the option --as, or else the user that
// runs the command.
func (c *adminClient) operator() string {
	if c.Operator != "" {
		return c.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c *adminClient) print(t query.Table) error {
	if c.JSON {
		out := json.NewEncoder(Output)
		out.SetIndent("", "  ")
		return Error.Wrap(out.Encode(t))
	}
	return t.Write(Output)
}
