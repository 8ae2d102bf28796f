// Package platform is a client of the platform's key-value service:
// compare-and-swap, watches and the list of instances, which lags behind. Of the
// packages that use the service only this one knows its wire format, which is that
// of the stand-in.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/trailshed/trailshed/internal/response"
)

// Error marks every error of this package.
var Error = errs.Class("platform")

var (
	// ErrMissing means that the key does not exist.
	ErrMissing = errors.New("key is missing")
	// ErrConflict means that the key has another version; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnknown means that no usable answer was received; a write may have taken effect.
	ErrUnknown = errors.New("outcome unknown")
	// ErrRefused means that the service refused the call; nothing was written.
	ErrRefused = errors.New("service refused the call")
)

// Entry is a key with its value.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"` // 0 means that the key does not exist
	Deleted bool   `json:"deleted,omitempty"`
}

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving"`
}

// Store holds the operations of the service. Tests replace its functions.
type Store struct {
	// Get reads one key; it fails with ErrMissing if the key does not exist.
	Get func(ctx context.Context, key string) (Entry, error)
	// Put writes key if its version is still the given one (0: it must not
	// exist) and returns the new version.
	Put func(ctx context.Context, key string, value []byte, version int64) (int64, error)
	// Delete removes key if its version is still the given one.
	Delete func(ctx context.Context, key string, version int64) error
	// List reads up to limit entries under prefix whose keys sort after the given one.
	List func(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// Watch waits for changes under prefix later than index. It returns them and the
	// index for the next call; after wait it returns without changes.
	Watch func(ctx context.Context, prefix string, index int64, wait time.Duration) ([]Entry, int64, error)
	// Instances reads the list of instances, which lags behind.
	Instances func(ctx context.Context) ([]Instance, error)
}

// client implements the operations in the stand-in's HTTP format.
type client struct {
	base       string
	httpClient *http.Client
	timeout    time.Duration
	scope      tally.Scope
}

// Connect returns a Store that calls the service at address. timeout limits each
// call; a watch may take its wait in addition.
func Connect(address netip.AddrPort, timeout time.Duration, scope tally.Scope) *Store {
	c := &client{
		base: "http://" + address.String(), timeout: timeout, scope: scope,
		httpClient: &http.Client{Transport: response.Transport{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}},
	}
	return &Store{
		Get: c.get, Put: c.put, Delete: c.remove,
		List: c.list, Watch: c.watch, Instances: c.instances,
	}
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, c.timeout, http.MethodGet, "/kv/"+url.PathEscape(key), nil, &e)
	return e, err
}

func (c *client) put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	var e Entry
	path := "/kv/" + url.PathEscape(key) + "?version=" + strconv.FormatInt(version, 10)
	err := c.call(ctx, c.timeout, http.MethodPut, path, value, &e)
	return e.Version, err
}

func (c *client) remove(ctx context.Context, key string, version int64) error {
	path := "/kv/" + url.PathEscape(key) + "?version=" + strconv.FormatInt(version, 10)
	return c.call(ctx, c.timeout, http.MethodDelete, path, nil, nil)
}

func (c *client) list(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var entries []Entry
	err := c.call(ctx, c.timeout, http.MethodGet, "/kv?"+q.Encode(), nil, &entries)
	return entries, err
}

// Changes is the response to a watch.
type Changes struct {
	Index   int64   `json:"index"`
	Entries []Entry `json:"entries"`
}

func (c *client) watch(ctx context.Context, prefix string, index int64, wait time.Duration) ([]Entry, int64, error) {
	q := url.Values{
		"prefix": {prefix}, "after": {strconv.FormatInt(index, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var changes Changes
	err := c.call(ctx, wait+c.timeout, http.MethodGet, "/watch?"+q.Encode(), nil, &changes)
	return changes.Entries, changes.Index, err
}

func (c *client) instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.call(ctx, c.timeout, http.MethodGet, "/instances", nil, &list)
	return list, err
}

// maxResponseBytes bounds a response. A value has up to a megabyte, and a page of the largest ones that are listed,
// configurations and segments of claims, has a few of them.
const maxResponseBytes = 32 << 20

func (c *client) call(ctx context.Context, limit time.Duration, method, path string, body []byte, into any) error {
	c.scope.Tagged(map[string]string{"method": method}).Counter("platform_calls").Inc(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return c.failed(ErrUnknown, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return c.failed(ErrUnknown, err.Error())
	}
	if len(data) > maxResponseBytes {
		return c.failed(ErrUnknown, fmt.Sprintf("the response exceeds %d bytes", maxResponseBytes))
	}
	if err := statusError(resp.StatusCode); err != nil {
		return c.failed(err, resp.Status)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return c.failed(ErrUnknown, err.Error())
	}
	return nil
}

func (c *client) failed(kind error, detail string) error {
	if !errors.Is(kind, ErrMissing) && !errors.Is(kind, ErrConflict) {
		c.scope.Counter("platform_failures").Inc(1)
	}
	return Error.Wrap(fmt.Errorf("%w: %s", kind, detail))
}

func statusError(status int) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusNotFound:
		return ErrMissing
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return ErrRefused
	default:
		return ErrUnknown
	}
}
