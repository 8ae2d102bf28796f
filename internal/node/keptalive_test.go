package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/trailshed/trailshed/internal/standin/site"
)

// sendRepeatedly sends a request again and again on one connection, until a response says that it is the
// last one, or the connection ends while no request is on it. It returns the number of responses.
func (c call) sendRepeatedly(n *site.Node, gap time.Duration) (responses int, err error) {
	conn, err := net.Dial("tcp", n.Callers)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(conn)
	for {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTrailshed-Kind: %s\r\nContent-Length: %d\r\n\r\n%s",
			c.path, c.key, c.kind, len(c.body), c.body)
		if err != nil {
			return responses, err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return responses, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil {
			return responses, err
		}
		responses++
		if resp.Close {
			return responses, nil
		}
		time.Sleep(gap)
	}
}

// Guards against a planned stop that ends connections on which the next request is on its way.
func TestRequestsOnKeptConnectionsAtPlannedStop(t *testing.T) {
	const connections = 40
	s := open(t)
	n := s.Nodes[0]
	request := call{path: "/v1/services/none/x", key: "key-w", kind: "read", body: "x"} // answered at once, with 404
	var group sync.WaitGroup
	for i := range connections {
		group.Go(func() {
			responses, err := request.sendRepeatedly(n, time.Duration(i)*50*time.Microsecond)
			qt.Check(t, err, qt.IsNil, qt.Commentf("connection %d after %d responses", i, responses))
		})
	}
	time.Sleep(100 * time.Millisecond) // all connections are in use
	n.BeginStop()
	group.Wait()
	n.Stop()
}
