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

// client speaks with one authority. Attempts are repeated by the plan alone: the library's own repeats would go past
// its budget, so the first call that fails in transport or with an error of the server ends the attempt.
type client struct {
	acme *acme.Client
	next http.RoundTripper

	mu     sync.Mutex
	cancel context.CancelFunc // ends the attempt
	after  time.Duration      // the last Retry-After that came with an error
	status int                // and its status
	calls  int
}

func (k *Keeper) client(au Authority) *client {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.clients[au.Name]
	if c == nil {
		c = &client{next: au.HTTP}
		if c.next == nil {
			c.next = http.DefaultTransport
		}
		c.acme = &acme.Client{Directory: au.Directory, HTTPClient: &http.Client{Transport: c, Timeout: k.cfg.CallTime}, UserAgent: "cairnlane",
			PollInterval: k.cfg.PollEvery, PollTimeout: k.cfg.PollTime}
		k.clients[au.Name] = c
	}
	return c
}

// call begins an attempt.
func (c *client) call(ctx context.Context, most time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, most)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.after, c.status = cancel, 0, 0
	return ctx, cancel
}

// RoundTrip implements http.RoundTripper.
func (c *client) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	switch {
	case err != nil:
		c.cancel()
	case resp.StatusCode >= 400:
		c.status, c.after = resp.StatusCode, retryAfter(resp)
		if resp.StatusCode >= 500 || r.Method != http.MethodPost { // but not a bad nonce, which is no attempt
			resp.Body = &ending{resp.Body, c.cancel}
		}
	}
	return resp, err
}

// ending is a body that ends the attempt once it was read.
type ending struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close implements io.Closer.
func (e *ending) Close() error {
	defer e.end()
	return e.ReadCloser.Close()
}

// retryAfter reads the header in either of its forms, RFC 9110 section 10.2.3.
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

// errRubbish is wrapped by what is said of a certificate that must not be used.
var errRubbish = errors.New("the authority has issued what must not be used")

// errLocal is wrapped by failures that are not the authority's.
var errLocal = errors.New("it failed on this machine")

// errInvalid is wrapped when a validation has failed.
var errInvalid = errors.New("the authority could not validate a name")

// trouble turns an error into what the plan sorts.
func (c *client) trouble(err error, inARow int) renewal.Trouble {
	c.mu.Lock()
	t := renewal.Trouble{Status: c.status, RetryAfter: c.after, InARow: inARow}
	c.mu.Unlock()
	var p acme.Problem
	if errors.As(err, &p) {
		t.Kind = renewal.ShortKind(p.Type)
		if p.Status != 0 {
			t.Status = p.Status
		}
	}
	if errors.Is(err, errInvalid) {
		t.Kind = "validation"
	}
	t.Rubbish, t.Local = errors.Is(err, errRubbish), errors.Is(err, errLocal)
	return t
}
