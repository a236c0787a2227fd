package certs

import (
	"bytes"
	"context"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mholt/acmez/v3/acme"
	"github.com/rs/zerolog"

	"cairnlane/internal/decide/renewal"
	"cairnlane/internal/fake/authority"
	"cairnlane/internal/faultfs"
	"cairnlane/internal/state/keystore"
	"cairnlane/internal/testkit"
)

const day = 24 * time.Hour

// harness runs managers against two fake authorities, with the listeners that the authorities validate at.
type harness struct {
	t        *testing.T
	clock    *testkit.Clock
	first    *authority.Authority
	other    *authority.Authority
	root     string
	cfg      Config
	answers  *ChallengeResponses
	set      *CertificateSet
	tls      net.Listener
	httpAddr string // address of the listener for http-01
	log      bytes.Buffer

	mu     sync.Mutex
	fault  map[string]func(authority.Op) authority.Fault
	window func() (from, to time.Time)
}

func newHarness(t *testing.T, life time.Duration, challenge string) *harness {
	t.Helper()
	w := &harness{t: t, clock: testkit.NewClock(), root: filepath.Join(t.TempDir(), "store"), answers: NewChallengeResponses(), fault: map[string]func(authority.Op) authority.Fault{}}
	w.set = NewCertificateSet(w.answers)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.tls, err = tls.Listen("tcp", "127.0.0.1:0", &tls.Config{GetCertificate: w.set.GetCertificate, NextProtos: []string{"acme-tls/1"}, Time: w.clock.Time})
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(plain, w.answers)
	w.httpAddr = plain.Addr().String()
	go func() {
		for {
			c, err := w.tls.Accept()
			if err != nil {
				return
			}
			go func() { c.(*tls.Conn).Handshake(); c.Close() }()
		}
	}()
	t.Cleanup(func() { plain.Close(); w.tls.Close() })
	start := func(name string) *authority.Authority {
		a, err := authority.Start(authority.Config{Name: name, Now: w.clock.Time, Lifetime: life,
			Resolve: func(_ string, port int) string {
				if port == 80 {
					return plain.Addr().String()
				}
				return w.tls.Addr().String()
			},
			Fault: func(_ time.Time, op authority.Op) authority.Fault {
				w.mu.Lock()
				defer w.mu.Unlock()
				if f := w.fault[name]; f != nil {
					return f(op)
				}
				return authority.Fault{}
			},
			RenewalWindow: func(cert *x509.Certificate) (time.Time, time.Time, bool) {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.window == nil {
					return time.Time{}, time.Time{}, false
				}
				from, to := w.window()
				return from, to, true
			}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { a.Close() })
		return a
	}
	w.first, w.other = start("first"), start("other")
	w.cfg = Config{Name: "site", Names: []string{"site.example", "www.site.example"}, Challenge: challenge, Contact: []string{"mailto:ops@site.example"},
		Authorities: []Authority{authorityConfig(w.first, "first"), authorityConfig(w.other, "other")}, Roots: w.first.Roots().Clone(), CallTimeout: 10 * time.Second,
		PollTimeout: 30 * time.Millisecond, PollInterval: 5 * time.Millisecond}
	for _, c := range w.other.RootCertificates() {
		w.cfg.Roots.AddCert(c)
	}
	return w
}

func authorityConfig(a *authority.Authority, name string) Authority {
	return Authority{Name: name, Directory: a.URL(), HTTP: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.Roots()}}}
}

// setFault sets the faults of an authority.
func (w *harness) setFault(name string, f func(authority.Op) authority.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault[name] = f
}

// faultOn returns a fault function that injects a fault into one operation.
func faultOn(op authority.Op, f authority.Fault) func(authority.Op) authority.Fault {
	return func(o authority.Op) authority.Fault {
		if o == op {
			return f
		}
		return authority.Fault{}
	}
}

// faultOnce returns a fault function that injects a fault into the first call of an operation.
func faultOnce(op authority.Op, f authority.Fault) func(authority.Op) authority.Fault {
	injected := false
	return func(o authority.Op) authority.Fault {
		if o == op && !injected {
			injected = true
			return f
		}
		return authority.Fault{}
	}
}

// openManager opens the store and starts a manager on it, as a new process does.
func (w *harness) openManager(files faultfs.FS) (*Manager, *keystore.Store) {
	w.t.Helper()
	store, err := keystore.Open(files, w.root)
	if err != nil {
		w.t.Fatal(err)
	}
	k, err := New(w.cfg, store, w.answers, w.clock.Time, zerolog.New(&w.log))
	if err != nil {
		w.t.Fatal(err)
	}
	w.set.managers = []*Manager{k}
	w.t.Cleanup(func() { store.Close() })
	return k, store
}

// stepUntil runs steps, advancing the clock to each, until the condition holds. It fails after 4000 steps.
func (w *harness) stepUntil(k *Manager, what string, condition func() bool) {
	w.t.Helper()
	for range 4000 {
		if condition() {
			return
		}
		if at, now := k.Step(context.Background()), w.clock.Time(); at.After(now) {
			w.clock.Advance(at.Sub(now))
		}
	}
	w.t.Fatalf("not reached within 4000 steps: %s\n%+v\n%s", what, k.Status(), w.log.String())
}

func (w *harness) issued(k *Manager, generation int) func() bool {
	return func() bool { return k.Status().Generation >= generation }
}

// handshake connects as a client and returns the server's certificate.
func (w *harness) handshake(name string, change func(*tls.Config)) (*x509.Certificate, error) {
	cfg := &tls.Config{ServerName: name, RootCAs: w.cfg.Roots, Time: w.clock.Time}
	if change != nil {
		change(cfg)
	}
	c, err := tls.Dial("tcp", w.tls.Addr().String(), cfg)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0], nil
}

func TestObtainAndRenew(t *testing.T) {
	for _, challenge := range []string{HTTP01, TLSALPN01} {
		for _, life := range []time.Duration{6 * day, 45 * day, 90 * day} {
			w := newHarness(t, life, challenge)
			k, _ := w.openManager(faultfs.Disk{})
			if _, err := w.handshake("site.example", nil); err == nil {
				t.Error("handshake succeeded without a certificate")
			}
			for n := 1; n <= 3; n++ {
				w.stepUntil(k, fmt.Sprintf("generation %d", n), w.issued(k, n))
				if _, err := w.handshake("www.site.example", nil); err != nil {
					t.Errorf("%s, %v, generation %d: %v", challenge, life, n, err)
				}
			}
			if got := w.first.IssuedCount(); got != 3 || w.other.CallCount("") != 0 {
				t.Errorf("%s: %d certificates issued, want 3; %d calls to the second authority, want 0", challenge, got, w.other.CallCount(""))
			}
			if o, err := k.store.Order("site"); err != nil || o.Stage != keystore.Ended || len(o.Key) > 0 {
				t.Errorf("order at stage %d instead of ended, or its key is still stored; error %v", o.Stage, err)
			}
			if strings.Contains(w.log.String(), "PRIVATE") || !strings.Contains(w.log.String(), `"generation":3`) {
				t.Errorf("the log contains a private key or lacks generation 3: %s", w.log.String())
			}
		}
	}
}

// TestOrderResumesAfterKillAtAnyStoreWrite kills the process at each change of the store during a renewal
// and starts another one. The old certificate must stay in use and exactly one new certificate be issued.
func TestOrderResumesAfterKillAtAnyStoreWrite(t *testing.T) {
	kills := 0
	for at := 0; ; at++ {
		w := newHarness(t, 90*day, HTTP01)
		k, store := w.openManager(faultfs.Disk{})
		w.stepUntil(k, "first certificate", w.issued(k, 1))
		store.Close()
		files := faultfs.NewFaulty()
		k, store = w.openManager(files)
		at0 := files.OpCount()
		files.KillAt(at0+at, at%7*9)
		w.clock.Advance(70 * day)
		for range 12 {
			k.Step(context.Background())
		}
		dead := files.OpCount() > at0+at
		if k.Current() == nil {
			t.Fatalf("killed at change %d: no certificate in use", at)
		}
		store.Close()
		k, _ = w.openManager(faultfs.Disk{})
		w.stepUntil(k, "second certificate", w.issued(k, 2))
		if got := w.first.IssuedCount(); got != 2 {
			t.Errorf("killed at change %d: %d certificates issued, want 2", at, got)
		}
		if cert, err := w.handshake("site.example", nil); err != nil || cert.NotAfter.Before(w.clock.Time().Add(80*day)) {
			t.Errorf("killed at change %d: the new certificate is not served: %v", at, err)
		}
		if kills++; !dead {
			break
		}
	}
	if kills < 12 {
		t.Errorf("an order has only %d store changes, want at least 12", kills)
	}
}

// TestLostResponseCausesNoSecondOrder loses the response to each kind of call after the authority has
// processed it.
func TestLostResponseCausesNoSecondOrder(t *testing.T) {
	for _, op := range []authority.Op{authority.OpAccount, authority.OpOrder, authority.OpGet, authority.OpChallenge, authority.OpFinalize, authority.OpDownload} {
		w := newHarness(t, 90*day, HTTP01)
		w.setFault("first", faultOnce(op, authority.Fault{DropResponse: true}))
		k, _ := w.openManager(faultfs.Disk{})
		w.stepUntil(k, "first certificate", w.issued(k, 1))
		if got := w.first.IssuedCount() + w.other.IssuedCount(); got != 1 {
			t.Errorf("%s: %d certificates issued, want 1", op, got)
		}
		if h := k.History(); len(h) != 2 || h[0].What != "failed" || h[1].What != "issued" {
			t.Errorf("%s: history %+v", op, h)
		}
	}
}

// TestFullDiskKeepsPreviousCertificateServing makes three consecutive writes of a renewal fail with a full
// disk, starting at each of the first ten.
func TestFullDiskKeepsPreviousCertificateServing(t *testing.T) {
	for at := range 10 {
		w := newHarness(t, 90*day, HTTP01)
		files := faultfs.NewFaulty()
		k, _ := w.openManager(files)
		w.stepUntil(k, "first certificate", w.issued(k, 1))
		for i := range 3 {
			files.NoSpaceAt(files.OpCount() + at + i)
		}
		w.clock.Advance(70 * day)
		w.stepUntil(k, "second certificate", func() bool {
			if _, err := w.handshake("site.example", nil); err != nil {
				t.Fatalf("write %d: %v", at, err)
			}
			return k.Status().Generation >= 2
		})
		if got := w.first.IssuedCount() + w.other.IssuedCount(); got != 2 {
			t.Errorf("write %d: %d certificates issued, want 2", at, got)
		}
	}
}

// TestUnusableCertificatesAreRejected has an authority complete orders with unusable certificates. They must not
// be installed, and the second authority must be used for one renewal.
func TestUnusableCertificatesAreRejected(t *testing.T) {
	for _, r := range []authority.CertDefect{authority.WrongName, authority.Expired, authority.OtherKey, authority.InvalidDER} {
		w := newHarness(t, 90*day, HTTP01)
		k, _ := w.openManager(faultfs.Disk{})
		w.stepUntil(k, "first certificate", w.issued(k, 1))
		w.setFault("first", faultOn(authority.OpFinalize, authority.Fault{Defect: r}))
		w.clock.Advance(70 * day)
		old := k.Current().Leaf.SerialNumber
		w.stepUntil(k, "failed order", func() bool { return k.Status().Failures > 0 })
		if cert, err := w.handshake("site.example", nil); err != nil || cert.SerialNumber.Cmp(old) != 0 {
			t.Errorf("%s: the previous certificate is no longer served: %v", r, err)
		}
		w.stepUntil(k, "certificate of the second authority", w.issued(k, 2))
		if _, err := w.handshake("site.example", nil); err != nil || w.other.IssuedCount() != 1 {
			t.Errorf("%s: %v, %d certificates issued by the second authority, want 1", r, err, w.other.IssuedCount())
		}
		w.setFault("first", nil)
		w.stepUntil(k, "third certificate", w.issued(k, 3))
		if w.other.IssuedCount() != 1 {
			t.Errorf("%s: the renewal after that does not return to the first authority", r)
		}
	}
	w := newHarness(t, 90*day, HTTP01) // of two chains, the one without a trusted root is skipped
	w.cfg.Roots = w.first.AltRoots()
	w.setFault("first", faultOn(authority.OpFinalize, authority.Fault{Defect: authority.BrokenChain}))
	k, _ := w.openManager(faultfs.Disk{})
	w.stepUntil(k, "certificate with the alternate chain", w.issued(k, 1))
}

func TestRenewalAfterLongAuthorityOutage(t *testing.T) {
	for name, f := range map[string]func(authority.Op) authority.Fault{
		"down":            func(authority.Op) authority.Fault { return authority.Fault{DropRequest: true} },
		"server errors":   func(authority.Op) authority.Fault { return authority.Fault{Status: 503, RetryAfter: 20 * time.Minute} },
		"rate limit":      faultOn(authority.OpOrder, authority.Fault{Status: 429, Problem: "rateLimited", RetryAfter: 30 * time.Hour}),
		"bad nonces":      faultOn(authority.OpFinalize, authority.Fault{BadNonce: true}),
		"slow validation": faultOn(authority.OpChallenge, authority.Fault{Delay: 30 * time.Hour}),
		"CAA rejection":   faultOn(authority.OpOrder, authority.Fault{Problem: "caa"}),
		"slow issuance":   faultOn(authority.OpFinalize, authority.Fault{Delay: 30 * time.Hour}),
	} {
		w := newHarness(t, 6*day, HTTP01)
		w.cfg.Authorities = w.cfg.Authorities[:1]
		k, _ := w.openManager(faultfs.Disk{})
		w.stepUntil(k, "first certificate", w.issued(k, 1))
		before := w.first.CallCount("")
		w.setFault("first", f)
		end := w.clock.Time().Add(60 * time.Hour).Add(30 * time.Hour) // the renewal is due after 60 to 66 hours; the outage ends up to 30 hours later
		w.stepUntil(k, name+": end of the outage", func() bool { return w.clock.Time().After(end) || k.Status().Generation > 1 })
		w.setFault("first", nil)
		w.stepUntil(k, name+": second certificate", w.issued(k, 2))
		if _, err := w.handshake("site.example", nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if left := k.Status().NotAfter.Sub(w.clock.Time()); left < 5*day {
			t.Errorf("%s: remaining validity %v, want at least 5 days", name, left)
		}
		if most := w.first.MaxCallsPerHour(); most > 120 || w.first.CallCount("")-before > 1200 {
			t.Errorf("%s: %d calls in an hour, %d in total", name, most, w.first.CallCount("")-before)
		}
		if got := w.first.IssuedCount(); got != 2 {
			t.Errorf("%s: %d certificates issued, want 2", name, got)
		}
	}
}

// TestOrderIsRepeatedWithoutReplaces checks that an order whose replaces field is rejected is repeated without it.
func TestOrderIsRepeatedWithoutReplaces(t *testing.T) {
	w := newHarness(t, 90*day, HTTP01)
	k, _ := w.openManager(faultfs.Disk{})
	w.stepUntil(k, "first certificate", w.issued(k, 1))
	w.setFault("first", faultOn(authority.OpOrder, authority.Fault{RejectReplaces: true}))
	w.stepUntil(k, "second certificate", w.issued(k, 2))
	if f := k.Status().Failures; f != 0 || w.other.CallCount("") != 0 {
		t.Errorf("%d failures and %d calls to the second authority, want none", f, w.other.CallCount(""))
	}
}

// TestWindowInThePastRenewsWithinADay checks a mass revocation: the authority moves the window into the past, and
// the next window request starts the renewal.
func TestWindowInThePastRenewsWithinADay(t *testing.T) {
	w := newHarness(t, 90*day, HTTP01)
	k, _ := w.openManager(faultfs.Disk{})
	w.stepUntil(k, "first certificate", w.issued(k, 1))
	from := w.clock.Time()
	w.mu.Lock()
	w.window = func() (time.Time, time.Time) { return from.Add(-2 * day), from.Add(-day) }
	w.mu.Unlock()
	w.stepUntil(k, "second certificate", w.issued(k, 2))
	if took := w.clock.Time().Sub(from); took > day {
		t.Errorf("renewed after %v, want at most a day", took)
	}
}

func TestStartWhileAllAuthoritiesAreDown(t *testing.T) {
	w := newHarness(t, 90*day, HTTP01)
	down := func(authority.Op) authority.Fault { return authority.Fault{DropRequest: true} }
	w.setFault("first", down)
	w.setFault("other", down)
	k, store := w.openManager(faultfs.Disk{})
	k.Step(context.Background())
	if _, err := w.set.GetCertificate(&tls.ClientHelloInfo{ServerName: "site.example"}); !errors.Is(err, errNoCertificate) || !strings.Contains(w.log.String(), "self_signed") {
		t.Errorf("%v\n%s", err, w.log.String())
	}
	store.Close()
	w.cfg.SelfSigned = true
	k, _ = w.openManager(faultfs.Disk{})
	cert, err := w.handshake("site.example", func(c *tls.Config) { c.InsecureSkipVerify = true })
	if err != nil || cert.VerifyHostname("www.site.example") != nil || k.Status().Alarm != renewal.Warning.String() {
		t.Errorf("self-signed placeholder: %v, alarm %s", err, k.Status().Alarm)
	}
	w.setFault("first", nil)
	w.stepUntil(k, "first certificate", w.issued(k, 1))
	if _, err := w.handshake("site.example", nil); err != nil {
		t.Error(err)
	}
}

// TestTwoProcessesShareOneStore checks that one process renews, and that the other serves the stored
// certificates and takes over the renewal when the first has ended.
func TestTwoProcessesShareOneStore(t *testing.T) {
	w := newHarness(t, 90*day, HTTP01)
	a, storeA := w.openManager(faultfs.Disk{})
	b, _ := w.openManager(faultfs.Disk{})
	w.stepUntil(a, "first certificate", w.issued(a, 1))
	b.Step(context.Background())
	if s := b.Status(); s.Generation != 1 || s.RenewsHere || !a.Status().RenewsHere {
		t.Errorf("status of the second process: %+v", s)
	}
	storeA.Close()
	w.clock.Advance(70 * day)
	w.stepUntil(b, "second certificate", w.issued(b, 2))
	if got := w.first.IssuedCount(); got != 2 || !b.Status().RenewsHere {
		t.Errorf("%d certificates issued, want 2; the second process renews: %v", got, b.Status().RenewsHere)
	}
}

func TestRevokeAndChangeAccountKey(t *testing.T) {
	w := newHarness(t, 90*day, TLSALPN01)
	k, store := w.openManager(faultfs.Disk{})
	w.stepUntil(k, "first certificate", w.issued(k, 1))
	was, _ := store.Account("first")
	w.setFault("first", faultOnce(authority.OpKeyChange, authority.Fault{DropResponse: true}))
	if err := k.ChangeAccountKey(context.Background(), "first"); err == nil {
		t.Error("no error although the response to the key change was lost")
	}
	if err := k.ChangeAccountKey(context.Background(), "first"); err != nil {
		t.Errorf("second attempt of the key change: %v", err)
	}
	if now, _ := store.Account("first"); bytes.Equal(was.Key, now.Key) || len(now.Next) > 0 || now.URL != was.URL {
		t.Error("the account key is unchanged, the change is still pending, or the account is a different one")
	}
	if err := k.Revoke(context.Background(), acme.ReasonKeyCompromise); err != nil {
		t.Fatal(err)
	}
	w.stepUntil(k, "second certificate", w.issued(k, 2))
	if err := k.ChangeAccountKey(context.Background(), "nobody"); err == nil {
		t.Error("no error for an authority that is not configured")
	}
}

func TestCertificateSelectionByClientHello(t *testing.T) {
	w := newHarness(t, 90*day, HTTP01)
	k, _ := w.openManager(faultfs.Disk{})
	w.stepUntil(k, "first certificate", w.issued(k, 1))
	for name, change := range map[string]func(*tls.Config){
		"no name":      func(c *tls.Config) { c.ServerName, c.InsecureSkipVerify = "", true },
		"unknown name": func(c *tls.Config) { c.ServerName, c.InsecureSkipVerify = "else.example", true },
		"TLS 1.2":      func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 },
	} {
		if cert, err := w.handshake("site.example", change); err != nil || cert.VerifyHostname("site.example") != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, change := range map[string]func(*tls.Config){
		"TLS 1.1 only":         func(c *tls.Config) { c.MinVersion, c.MaxVersion = tls.VersionTLS10, tls.VersionTLS11 },
		"no pending challenge": func(c *tls.Config) { c.NextProtos = []string{"acme-tls/1"} },
	} {
		if _, err := w.handshake("site.example", change); err == nil {
			t.Errorf("%s: handshake succeeded", name)
		}
	}
}

// FuzzChain feeds arbitrary authority responses to verifyChain, which must accept none of them without a root.
func FuzzChain(f *testing.F) {
	g, err := selfSigned([]string{"site.example"}, time.Unix(0, int64(testkit.StartTime)), 90*day)
	if err != nil {
		f.Fatal(err)
	}
	cert, err := tlsCertificate(g)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: g.Chain[0]}))
	f.Fuzz(func(t *testing.T, chain []byte) {
		der, err := verifyChain(chain, []string{"site.example"}, cert.PrivateKey.(crypto.Signer), time.Unix(0, int64(testkit.StartTime)), x509.NewCertPool())
		if err == nil {
			t.Errorf("a chain of %d certificates without a trusted root is accepted", len(der))
		}
	})
}

// TestExternalAccountBinding checks that an account is created only with the external account binding, and that no
// private key and no binding key is logged.
func TestExternalAccountBinding(t *testing.T) {
	w := newHarness(t, 90*day, HTTP01)
	mac := []byte("thirty-two bytes of a MAC key ..")
	bound, err := authority.Start(authority.Config{Name: "bound", Now: w.clock.Time, Lifetime: 90 * day, EAB: map[string][]byte{"kid": mac},
		Resolve: func(string, int) string { return w.httpAddr }})
	if err != nil {
		t.Fatal(err)
	}
	defer bound.Close()
	for _, c := range bound.RootCertificates() {
		w.cfg.Roots.AddCert(c)
	}
	w.cfg.Authorities = []Authority{authorityConfig(bound, "bound")}
	k, store := w.openManager(faultfs.Disk{})
	k.Step(context.Background())
	if s := k.Status(); s.Failures != 1 || !strings.Contains(s.LastEvent, "externalAccountRequired") {
		t.Errorf("status without a binding: %+v", s)
	}
	store.Close()
	w.cfg.Authorities[0].EAB = &acme.EAB{KeyID: "kid", MACKey: base64.RawURLEncoding.EncodeToString(mac)}
	k, store = w.openManager(faultfs.Disk{})
	w.stepUntil(k, "first certificate", w.issued(k, 1))
	g, _, err := store.Generation("site")
	if err != nil {
		t.Fatal(err)
	}
	a, err := store.Account("bound")
	if err != nil {
		t.Fatal(err)
	}
	for name, secret := range map[string][]byte{"the certificate's key": g.Key, "the account's key": a.Key, "the binding's key": mac} {
		for _, form := range []string{string(secret), base64.StdEncoding.EncodeToString(secret), base64.RawURLEncoding.EncodeToString(secret), fmt.Sprintf("%x", secret), fmt.Sprint(secret)} {
			if strings.Contains(w.log.String(), form) {
				t.Errorf("%s is in the log", name)
			}
		}
	}
}
