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

// client is golang.org/x/crypto/acme, which shares no code with the client of the product.
type client struct {
	*acme.Client
	t      *testing.T
	clock  *testkit.Clock
	a      *Authority
	http   net.Listener
	tls    net.Listener
	mu     sync.Mutex
	answer string
	cert   *tls.Certificate
	fault  func(Op) Fault
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
	cfg.Name, cfg.Now, cfg.Lifetime = "test", c.clock.Unix, 90*24*time.Hour
	cfg.Fault = func(_ time.Time, op Op) Fault { return c.fault(op) }
	var err error
	if c.http, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c.tls, err = tls.Listen("tcp", "127.0.0.1:0", &tls.Config{NextProtos: []string{"acme-tls/1"}, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.cert == nil {
			return nil, errors.New("none")
		}
		return c.cert, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(c.http, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.Write([]byte(c.answer))
	}))
	go func() {
		for {
			conn, err := c.tls.Accept()
			if err != nil {
				return
			}
			conn.(*tls.Conn).Handshake()
			conn.Close()
		}
	}()
	cfg.Resolve = func(_ string, port int) string {
		if port == 80 {
			return c.http.Addr().String()
		}
		return c.tls.Addr().String()
	}
	if c.a, err = Start(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.a.Close(); c.http.Close(); c.tls.Close() })
	c.Client = &acme.Client{Key: newKey(t), DirectoryURL: c.a.URL(), RetryBackoff: func(int, *http.Request, *http.Response) time.Duration { return -1 },
		HTTPClient: &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: c.a.Roots()}}}}
	return c
}

func (c *client) register(eab *acme.ExternalAccountBinding) error {
	_, err := c.Register(context.Background(), &acme.Account{Contact: []string{"mailto:ops@site.example"}, ExternalAccountBinding: eab}, acme.AcceptTOS)
	return err
}

// obtain goes through a whole order with one kind of challenge.
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
			c.answer, err = c.HTTP01ChallengeResponse(ch.Token)
			if err == nil {
				var cert tls.Certificate
				cert, err = c.TLSALPN01ChallengeCert(ch.Token, z.Identifier.Value)
				c.cert = &cert
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

// TestAnotherClientGetsACertificate: both challenges, several names, and a chain that verifies.
func TestAnotherClientGetsACertificate(t *testing.T) {
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
		middle := x509.NewCertPool()
		for _, der := range chain[1:] {
			cert, err := x509.ParseCertificate(der)
			if err != nil {
				t.Fatal(err)
			}
			middle.AddCert(cert)
		}
		for _, name := range []string{"site.example", "www.site.example"} {
			if _, err := leaf.Verify(x509.VerifyOptions{DNSName: name, Roots: c.a.Roots(), Intermediates: middle, CurrentTime: c.clock.Unix()}); err != nil {
				t.Errorf("%s: %v", kind, err)
			}
		}
		if !key.PublicKey.Equal(leaf.PublicKey) || leaf.NotAfter.Sub(leaf.NotBefore) != 90*24*time.Hour {
			t.Errorf("%s: another key, or good for %v", kind, leaf.NotAfter.Sub(leaf.NotBefore))
		}
		alternates, err := c.ListCertAlternates(context.Background(), strings.Replace(o.FinalizeURL, "/finalize/", "/cert/", 1)+"/0")
		if err != nil || len(alternates) != 1 {
			t.Errorf("%s: alternates %v, %v", kind, alternates, err)
		}
		if err := c.RevokeCert(context.Background(), nil, chain[0], acme.CRLReasonSuperseded); err != nil {
			t.Errorf("revoke: %v", err)
		}
		other := newKey(t)
		if err := c.RevokeCert(context.Background(), other, chain[0], acme.CRLReasonSuperseded); err == nil {
			t.Error("revoked by a key that has nothing to do with it")
		}
		if err := c.AccountKeyRollover(context.Background(), newKey(t)); err != nil {
			t.Errorf("change of keys: %v", err)
		}
		if _, _, err := c.obtain(kind, key, "other.example"); err != nil {
			t.Errorf("with the new account key: %v", err)
		}
	}
}

// TestWhatIsNotProvenIsNotIssued: the wrong answer, the wrong names, another's account, an account without binding.
func TestWhatIsNotProvenIsNotIssued(t *testing.T) {
	c := newClient(t, Config{EAB: map[string][]byte{"kid-1": []byte("a shared secret of thirty-two byt")}})
	if err := c.register(nil); err == nil || !strings.Contains(err.Error(), "externalAccountRequired") {
		t.Errorf("without a binding: %v", err)
	}
	if err := c.register(&acme.ExternalAccountBinding{KID: "kid-1", Key: []byte("another secret")}); err == nil {
		t.Error("with a wrong binding an account is made")
	}
	if err := c.register(&acme.ExternalAccountBinding{KID: "kid-1", Key: []byte("a shared secret of thirty-two byt")}); err != nil {
		t.Fatal(err)
	}
	c.fault = func(op Op) Fault { return Fault{Invalid: op == OpChallenge} }
	if _, _, err := c.obtain("http-01", newKey(t), "site.example"); err == nil {
		t.Error("issued though the validation failed")
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
		t.Error("issued without a validation")
	}
	z, err := c.GetAuthorization(ctx, o.AuthzURLs[0])
	if err != nil {
		t.Fatal(err)
	}
	c.answer = "nonsense"
	if _, err := c.Accept(ctx, z.Challenges[0]); err != nil {
		t.Fatal(err)
	}
	if _, err := c.WaitAuthorization(ctx, z.URI); err == nil {
		t.Error("a wrong answer is taken")
	}
	if _, err := c.AuthorizeOrder(ctx, acme.DomainIDs("localhost")); err == nil {
		t.Error("a name without a dot is taken")
	}
}

// TestFaultsArePlayed checks that each fault does what it says, seen through the other client.
func TestFaultsArePlayed(t *testing.T) {
	for name, k := range map[string]struct {
		on   Op
		f    Fault
		says string
	}{
		"down":      {OpOrder, Fault{Down: true}, "EOF"},
		"error":     {OpOrder, Fault{Status: 503, RetryAfter: time.Minute}, "503"},
		"limit":     {OpOrder, Fault{Status: 429, Problem: "rateLimited", RetryAfter: time.Hour}, "rateLimited"},
		"refusal":   {OpOrder, Fault{Problem: "caa"}, "caa"},
		"bad nonce": {OpOrder, Fault{BadNonce: true}, "badNonce"},
		"lost":      {OpOrder, Fault{Lost: true}, "EOF"},
		"rubbish":   {OpFinalize, Fault{Rubbish: NoPEM}, "x509"},
		"invalid":   {OpChallenge, Fault{Invalid: true}, "played by the script"},
	} {
		c := newClient(t, Config{})
		if err := c.register(nil); err != nil {
			t.Fatal(err)
		}
		c.fault = func(op Op) Fault {
			if op == k.on {
				return k.f
			}
			return Fault{}
		}
		chain, _, err := c.obtain("http-01", newKey(t), "site.example")
		if err == nil {
			_, err = x509.ParseCertificate(chain[0])
		}
		if err == nil || !strings.Contains(err.Error(), k.says) {
			t.Errorf("%s: %v, want something with %q", name, err, k.says)
		}
		c.fault = func(Op) Fault { return Fault{} }
		before := c.a.Calls(OpOrder)
		if _, _, err := c.obtain("http-01", newKey(t), "site.example"); err != nil && name != "rubbish" {
			t.Errorf("after %s: %v", name, err)
		}
		if c.a.Calls(OpOrder) == before {
			t.Errorf("after %s: no order was counted", name)
		}
	}
}

// TestAnOrderOnItsWayIsTheSameOne: asked for again after its answer was lost, no second one is made.
func TestAnOrderOnItsWayIsTheSameOne(t *testing.T) {
	c := newClient(t, Config{PerHour: 1})
	if err := c.register(nil); err != nil {
		t.Fatal(err)
	}
	c.fault = func(op Op) Fault { return Fault{Lost: op == OpOrder} }
	if _, err := c.AuthorizeOrder(context.Background(), acme.DomainIDs("site.example")); err == nil {
		t.Fatal("the answer came")
	}
	c.fault = func(Op) Fault { return Fault{} }
	a, err1 := c.AuthorizeOrder(context.Background(), acme.DomainIDs("site.example"))
	b, err2 := c.AuthorizeOrder(context.Background(), acme.DomainIDs("site.example"))
	if err := errors.Join(err1, err2); err != nil || a.URI != b.URI {
		t.Errorf("%v and %v, %v", a, b, err)
	}
	if _, err := c.AuthorizeOrder(context.Background(), acme.DomainIDs("other.example")); err == nil || !strings.Contains(err.Error(), "rateLimited") {
		t.Errorf("a second order in the hour: %v", err)
	}
	c.clock.Advance(time.Hour)
	if _, err := c.AuthorizeOrder(context.Background(), acme.DomainIDs("other.example")); err != nil {
		t.Errorf("an hour later: %v", err)
	}
}

// TestAValidationMayTakeHours has the clock decide.
func TestAValidationMayTakeHours(t *testing.T) {
	c := newClient(t, Config{})
	if err := c.register(nil); err != nil {
		t.Fatal(err)
	}
	c.fault = func(op Op) Fault {
		if op == OpChallenge {
			return Fault{Pending: 5 * time.Hour}
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
	if c.answer, err = c.HTTP01ChallengeResponse(z.Challenges[0].Token); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Accept(ctx, z.Challenges[0]); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{acme.StatusPending, acme.StatusValid} {
		if z, err = c.GetAuthorization(ctx, o.AuthzURLs[0]); err != nil || z.Status != want {
			t.Errorf("status %s, want %s (%v)", z.Status, want, err)
		}
		c.clock.Advance(5 * time.Hour)
	}
}

func TestTheMostCallsInAnHour(t *testing.T) {
	c := newClient(t, Config{})
	for i := range 6 {
		resp, err := c.HTTPClient.Get(c.a.URL())
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
	if got := c.a.MostInAnHour(); got != 4 {
		t.Errorf("%d calls in the hour that had most, want 4", got)
	}
}
