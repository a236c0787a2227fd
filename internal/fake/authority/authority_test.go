package authority

import (
	"bytes"
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/crypto/acme"

	"cairnlane/internal/testkit"
)

// client is the ACME client of golang.org/x/crypto/acme, which shares no code with the product's client, and the listeners on which it
// answers challenges.
type client struct {
	*acme.Client
	t                *testing.T
	clock            *testkit.Clock
	authority        *Authority
	httpListener     net.Listener
	tlsListener      net.Listener
	mu               sync.Mutex
	keyAuthorization string
	challengeCert    *tls.Certificate
	fault            func(Op) Fault
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func newClient(t *testing.T, cfg Config) *client {
	t.Helper()
	c := &client{t: t, clock: testkit.NewClock(), fault: func(Op) Fault { return Fault{} }}
	cfg.Name, cfg.Now, cfg.Lifetime = "test", c.clock.Time, 90*24*time.Hour
	cfg.Fault = func(_ time.Time, op Op) Fault { return c.fault(op) }
	var err error
	if c.httpListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c.tlsListener, err = tls.Listen("tcp", "127.0.0.1:0", &tls.Config{NextProtos: []string{"acme-tls/1"}, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.challengeCert == nil {
			return nil, errors.New("no challenge certificate")
		}
		return c.challengeCert, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(c.httpListener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.Write([]byte(c.keyAuthorization))
	}))
	go func() {
		for {
			conn, err := c.tlsListener.Accept()
			if err != nil {
				return
			}
			conn.(*tls.Conn).Handshake()
			conn.Close()
		}
	}()
	cfg.Resolve = func(_ string, port int) string {
		if port == 80 {
			return c.httpListener.Addr().String()
		}
		return c.tlsListener.Addr().String()
	}
	if c.authority, err = Start(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.authority.Close(); c.httpListener.Close(); c.tlsListener.Close() })
	c.Client = &acme.Client{Key: newKey(t), DirectoryURL: c.authority.URL(), RetryBackoff: func(int, *http.Request, *http.Response) time.Duration { return -1 },
		HTTPClient: &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: c.authority.Roots()}}}}
	return c
}

func (c *client) register(eab *acme.ExternalAccountBinding) error {
	_, err := c.Register(context.Background(), &acme.Account{Contact: []string{"mailto:ops@site.example"}, ExternalAccountBinding: eab}, acme.AcceptTOS)
	return err
}

// obtain places an order, completes it with challenges of the given type and returns the certificate chain.
func (c *client) obtain(kind string, key crypto.Signer, names ...string) ([][]byte, *acme.Order, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o, err := c.AuthorizeOrder(ctx, acme.DomainIDs(names...))
	if err != nil {
		return nil, nil, err
	}
	for _, u := range o.AuthzURLs {
		z, err := c.GetAuthorization(ctx, u)
		if err != nil {
			return nil, o, err
		}
		for _, ch := range z.Challenges {
			if ch.Type != kind {
				continue
			}
			c.mu.Lock()
			c.keyAuthorization, err = c.HTTP01ChallengeResponse(ch.Token)
			if err == nil {
				var cert tls.Certificate
				cert, err = c.TLSALPN01ChallengeCert(ch.Token, z.Identifier.Value)
				c.challengeCert = &cert
			}
			c.mu.Unlock()
			if err != nil {
				return nil, o, err
			}
			if _, err := c.Accept(ctx, ch); err != nil {
				return nil, o, err
			}
		}
		if _, err := c.WaitAuthorization(ctx, u); err != nil {
			return nil, o, err
		}
	}
	csr, err := x509.CreateCertificateRequest(rand.Reader, &x509.CertificateRequest{DNSNames: names}, key)
	if err != nil {
		return nil, o, err
	}
	chain, _, err := c.CreateOrderCert(ctx, o.FinalizeURL, csr, true)
	return chain, o, err
}

// TestIssueRevokeAndChangeKey checks for both challenge types that a certificate for several names is issued with a chain that
// verifies, that it can be revoked only by an authorized key, and that orders succeed after the account's key was changed.
func TestIssueRevokeAndChangeKey(t *testing.T) {
	for _, kind := range []string{"http-01", "tls-alpn-01"} {
		c := newClient(t, Config{})
		if err := c.register(nil); err != nil {
			t.Fatal(err)
		}
		key := newKey(t)
		chain, o, err := c.obtain(kind, key, "site.example", "www.site.example")
		if err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
		leaf, err := x509.ParseCertificate(chain[0])
		if err != nil {
			t.Fatal(err)
		}
		intermediates := x509.NewCertPool()
		for _, der := range chain[1:] {
			cert, err := x509.ParseCertificate(der)
			if err != nil {
				t.Fatal(err)
			}
			intermediates.AddCert(cert)
		}
		for _, name := range []string{"site.example", "www.site.example"} {
			if _, err := leaf.Verify(x509.VerifyOptions{DNSName: name, Roots: c.authority.Roots(), Intermediates: intermediates, CurrentTime: c.clock.Time()}); err != nil {
				t.Errorf("%s: %v", kind, err)
			}
		}
		if !key.PublicKey.Equal(leaf.PublicKey) || leaf.NotAfter.Sub(leaf.NotBefore) != 90*24*time.Hour {
			t.Errorf("%s: wrong key, or valid for %v, want 2160h", kind, leaf.NotAfter.Sub(leaf.NotBefore))
		}
		alternates, err := c.ListCertAlternates(context.Background(), strings.Replace(o.FinalizeURL, "/finalize/", "/cert/", 1)+"/0")
		if err != nil || len(alternates) != 1 {
			t.Errorf("%s: alternate chains %v, %v, want one", kind, alternates, err)
		}
		if err := c.RevokeCert(context.Background(), nil, chain[0], acme.CRLReasonSuperseded); err != nil {
			t.Errorf("revoke: %v", err)
		}
		other := newKey(t)
		if err := c.RevokeCert(context.Background(), other, chain[0], acme.CRLReasonSuperseded); err == nil {
			t.Error("revoked by a key of neither the account nor the certificate")
		}
		if err := c.AccountKeyRollover(context.Background(), newKey(t)); err != nil {
			t.Errorf("account key rollover: %v", err)
		}
		if _, _, err := c.obtain(kind, key, "other.example"); err != nil {
			t.Errorf("order with the new account key: %v", err)
		}
	}
}

// TestUnauthorizedRequestsAreRejected checks accounts with no or a wrong external account binding, orders whose validation failed or
// was not made, a wrong response to a challenge, and a name without a dot.
func TestUnauthorizedRequestsAreRejected(t *testing.T) {
	c := newClient(t, Config{EAB: map[string][]byte{"kid-1": []byte("a shared secret of thirty-two byt")}})
	if err := c.register(nil); err == nil || !strings.Contains(err.Error(), "externalAccountRequired") {
		t.Errorf("account without a binding: %v, want externalAccountRequired", err)
	}
	if err := c.register(&acme.ExternalAccountBinding{KID: "kid-1", Key: []byte("another secret")}); err == nil {
		t.Error("account created with a wrong binding")
	}
	if err := c.register(&acme.ExternalAccountBinding{KID: "kid-1", Key: []byte("a shared secret of thirty-two byt")}); err != nil {
		t.Fatal(err)
	}
	c.fault = func(op Op) Fault { return Fault{FailValidation: op == OpChallenge} }
	if _, _, err := c.obtain("http-01", newKey(t), "site.example"); err == nil {
		t.Error("certificate issued after a failed validation")
	}
	c.fault = func(Op) Fault { return Fault{} }
	ctx := context.Background()
	o, err := c.AuthorizeOrder(ctx, acme.DomainIDs("site.example"))
	if err != nil {
		t.Fatal(err)
	}
	csr, err := x509.CreateCertificateRequest(rand.Reader, &x509.CertificateRequest{DNSNames: []string{"site.example"}}, newKey(t))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.CreateOrderCert(ctx, o.FinalizeURL, csr, true); err == nil {
		t.Error("certificate issued without a validation")
	}
	z, err := c.GetAuthorization(ctx, o.AuthzURLs[0])
	if err != nil {
		t.Fatal(err)
	}
	c.keyAuthorization = "nonsense"
	if _, err := c.Accept(ctx, z.Challenges[0]); err != nil {
		t.Fatal(err)
	}
	if _, err := c.WaitAuthorization(ctx, z.URI); err == nil {
		t.Error("wrong response to a challenge was accepted")
	}
	if _, err := c.AuthorizeOrder(ctx, acme.DomainIDs("localhost")); err == nil {
		t.Error("order for a name without a dot was accepted")
	}
}

// TestInjectedFaults checks that the client sees each injected fault, and that an order succeeds after the fault, except after an
// unusable certificate.
func TestInjectedFaults(t *testing.T) {
	for name, k := range map[string]struct {
		op        Op
		fault     Fault
		wantError string
	}{
		"down":      {OpOrder, Fault{DropRequest: true}, "EOF"},
		"error":     {OpOrder, Fault{Status: 503, RetryAfter: time.Minute}, "503"},
		"limit":     {OpOrder, Fault{Status: 429, Problem: "rateLimited", RetryAfter: time.Hour}, "rateLimited"},
		"rejection": {OpOrder, Fault{Problem: "caa"}, "caa"},
		"bad nonce": {OpOrder, Fault{BadNonce: true}, "badNonce"},
		"lost":      {OpOrder, Fault{DropResponse: true}, "EOF"},
		"unusable":  {OpFinalize, Fault{Defect: InvalidDER}, "x509"},
		"invalid":   {OpChallenge, Fault{FailValidation: true}, "injected validation failure"},
	} {
		c := newClient(t, Config{})
		if err := c.register(nil); err != nil {
			t.Fatal(err)
		}
		c.fault = func(op Op) Fault {
			if op == k.op {
				return k.fault
			}
			return Fault{}
		}
		chain, _, err := c.obtain("http-01", newKey(t), "site.example")
		if err == nil {
			_, err = x509.ParseCertificate(chain[0])
		}
		if err == nil || !strings.Contains(err.Error(), k.wantError) {
			t.Errorf("%s: error %v, want one that contains %q", name, err, k.wantError)
		}
		c.fault = func(Op) Fault { return Fault{} }
		before := c.authority.CallCount(OpOrder)
		if _, _, err := c.obtain("http-01", newKey(t), "site.example"); err != nil && name != "unusable" {
			t.Errorf("order after fault %s: %v", name, err)
		}
		if c.authority.CallCount(OpOrder) == before {
			t.Errorf("after fault %s: no order call was counted", name)
		}
	}
}

// TestRepeatedOrderReturnsOpenOrder checks that a client that repeats an order whose response was lost gets the open order and not a
// second one, which would count against the rate limit.
func TestRepeatedOrderReturnsOpenOrder(t *testing.T) {
	c := newClient(t, Config{OrdersPerHour: 1})
	if err := c.register(nil); err != nil {
		t.Fatal(err)
	}
	c.fault = func(op Op) Fault { return Fault{DropResponse: op == OpOrder} }
	if _, err := c.AuthorizeOrder(context.Background(), acme.DomainIDs("site.example")); err == nil {
		t.Fatal("order succeeded, want its response lost")
	}
	c.fault = func(Op) Fault { return Fault{} }
	first, err1 := c.AuthorizeOrder(context.Background(), acme.DomainIDs("site.example"))
	second, err2 := c.AuthorizeOrder(context.Background(), acme.DomainIDs("site.example"))
	if err := errors.Join(err1, err2); err != nil || first.URI != second.URI {
		t.Errorf("orders %v and %v, %v, want the same order", first, second, err)
	}
	if _, err := c.AuthorizeOrder(context.Background(), acme.DomainIDs("other.example")); err == nil || !strings.Contains(err.Error(), "rateLimited") {
		t.Errorf("second order within the hour: %v, want rateLimited", err)
	}
	c.clock.Advance(time.Hour)
	if _, err := c.AuthorizeOrder(context.Background(), acme.DomainIDs("other.example")); err != nil {
		t.Errorf("order an hour later: %v", err)
	}
}

// TestPendingValidationEndsByClock checks that a delayed validation ends when the injected clock reaches its time.
func TestPendingValidationEndsByClock(t *testing.T) {
	c := newClient(t, Config{})
	if err := c.register(nil); err != nil {
		t.Fatal(err)
	}
	c.fault = func(op Op) Fault {
		if op == OpChallenge {
			return Fault{Delay: 5 * time.Hour}
		}
		return Fault{}
	}
	ctx := context.Background()
	o, err := c.AuthorizeOrder(ctx, acme.DomainIDs("site.example"))
	if err != nil {
		t.Fatal(err)
	}
	z, err := c.GetAuthorization(ctx, o.AuthzURLs[0])
	if err != nil {
		t.Fatal(err)
	}
	if c.keyAuthorization, err = c.HTTP01ChallengeResponse(z.Challenges[0].Token); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Accept(ctx, z.Challenges[0]); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{acme.StatusPending, acme.StatusValid} {
		if z, err = c.GetAuthorization(ctx, o.AuthzURLs[0]); err != nil || z.Status != want {
			t.Errorf("authorization status %s, want %s (%v)", z.Status, want, err)
		}
		c.clock.Advance(5 * time.Hour)
	}
}

func TestMaxCallsPerHour(t *testing.T) {
	c := newClient(t, Config{})
	for i := range 6 {
		resp, err := c.HTTPClient.Get(c.authority.URL())
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		b.ReadFrom(resp.Body)
		resp.Body.Close()
		if i%2 == 1 {
			c.clock.Advance(30 * time.Minute)
		}
	}
	if got := c.authority.MaxCallsPerHour(); got != 4 {
		t.Errorf("MaxCallsPerHour returned %d, want 4", got)
	}
}
