package certs

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mholt/acmez/v3/acme"

	"cairnlane/internal/decide/renewal"
)

// client makes the ACME calls to one authority. Only the plan retries: retries of the library would exceed the
// plan's budget, so the first call that fails in transport or with a server error cancels the attempt.
type client struct {
	acme      *acme.Client
	transport http.RoundTripper

	mu         sync.Mutex
	cancel     context.CancelFunc // cancels the current attempt
	retryAfter time.Duration      // Retry-After of the last error response
	status     int                // HTTP status of the last error response, 0 if there was none
	calls      int
}

func (k *Manager) client(authority Authority) *client {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.clients[authority.Name]
	if c == nil {
		c = &client{transport: authority.HTTP}
		if c.transport == nil {
			c.transport = http.DefaultTransport
		}
		c.acme = &acme.Client{Directory: authority.Directory, HTTPClient: &http.Client{Transport: c, Timeout: k.cfg.CallTimeout}, UserAgent: "cairnlane",
			PollInterval: k.cfg.PollInterval, PollTimeout: k.cfg.PollTimeout}
		k.clients[authority.Name] = c
	}
	return c
}

// beginAttempt resets the result of the last attempt and returns the context of a new one.
func (c *client) beginAttempt(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.retryAfter, c.status = cancel, 0, 0
	return ctx, cancel
}

// RoundTrip implements http.RoundTripper.
func (c *client) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.transport.RoundTrip(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	switch {
	case err != nil:
		c.cancel()
	case resp.StatusCode >= 400:
		c.status, c.retryAfter = resp.StatusCode, retryAfter(resp)
		if resp.StatusCode >= 500 || r.Method != http.MethodPost { // a rejected nonce is a 400 to a POST, which the library repeats
			resp.Body = &cancelOnClose{resp.Body, c.cancel}
		}
	}
	return resp, err
}

// cancelOnClose is a response body that cancels the attempt when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (e *cancelOnClose) Close() error {
	defer e.cancel()
	return e.ReadCloser.Close()
}

// retryAfter returns the value of the Retry-After header in either of its forms, RFC 9110 section 10.2.3.
func retryAfter(resp *http.Response) time.Duration {
	h := resp.Header.Get("Retry-After")
	if s, err := strconv.Atoi(h); err == nil {
		return max(time.Duration(min(s, 1<<30))*time.Second, 0)
	}
	if t, err := http.ParseTime(h); err == nil {
		if d, err := http.ParseTime(resp.Header.Get("Date")); err == nil {
			return max(t.Sub(d), 0)
		}
	}
	return 0
}

// errUnusable is wrapped by errors about an issued certificate that must not be used.
var errUnusable = errors.New("the authority issued an unusable certificate")

// errLocal is wrapped by failures that the authority did not cause.
var errLocal = errors.New("local failure")

// errInvalid is wrapped by errors about a failed validation.
var errInvalid = errors.New("the authority could not validate a name")

// failure converts an error to the form that renewal.Classify takes.
func (c *client) failure(err error, priorFailures int) renewal.Failure {
	c.mu.Lock()
	result := renewal.Failure{Status: c.status, RetryAfter: c.retryAfter, PriorFailures: priorFailures}
	c.mu.Unlock()
	var p acme.Problem
	if errors.As(err, &p) {
		result.Kind = renewal.TrimProblemPrefix(p.Type)
		if p.Status != 0 {
			result.Status = p.Status
		}
	}
	if errors.Is(err, errInvalid) {
		result.Kind = "validation"
	}
	result.Unusable, result.Local = errors.Is(err, errUnusable), errors.Is(err, errLocal)
	return result
}
