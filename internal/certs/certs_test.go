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
	"cairnlane/internal/faultfs"
	"cairnlane/internal/standin/authority"
	"cairnlane/internal/state/keystore"
	"cairnlane/internal/testkit"
)

const day = 24 * time.Hour

// world is a keeper with authorities and the listeners that they call back on.
type world struct {
	t     *testing.T
	clock *testkit.Clock
	first *authority.Authority
	other *authority.Authority
	root  string
	cfg   Config
	ans   *Answers
	set   *Set
	tls   net.Listener
	plain string // where http-01 is answered
	log   bytes.Buffer

	mu    sync.Mutex
	fault map[string]func(authority.Op) authority.Fault
	moved func() (from, to time.Time)
}

func newWorld(t *testing.T, life time.Duration, challenge string) *world {
	t.Helper()
	w := &world{t: t, clock: testkit.NewClock(), root: filepath.Join(t.TempDir(), "store"), ans: NewAnswers(), fault: map[string]func(authority.Op) authority.Fault{}}
	w.set = NewSet(w.ans)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.tls, err = tls.Listen("tcp", "127.0.0.1:0", &tls.Config{GetCertificate: w.set.GetCertificate, NextProtos: []string{"acme-tls/1"}, Time: w.clock.Unix})
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(plain, w.ans)
	w.plain = plain.Addr().String()
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
		a, err := authority.Start(authority.Config{Name: name, Now: w.clock.Unix, Lifetime: life,
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
			Window: func(cert *x509.Certificate) (time.Time, time.Time, bool) {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.moved == nil {
					return time.Time{}, time.Time{}, false
				}
				from, to := w.moved()
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
		Authorities: []Authority{reach(w.first, "first"), reach(w.other, "other")}, Roots: w.first.Roots().Clone(), CallTime: 10 * time.Second,
		PollTime: 30 * time.Millisecond, PollEvery: 5 * time.Millisecond}
	for _, c := range w.other.Certificates() {
		w.cfg.Roots.AddCert(c)
	}
	return w
}

func reach(a *authority.Authority, name string) Authority {
	return Authority{Name: name, Directory: a.URL(), HTTP: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.Roots()}}}
}

// play sets what goes wrong at an authority.
func (w *world) play(name string, f func(authority.Op) authority.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault[name] = f
}

func on(op authority.Op, f authority.Fault) func(authority.Op) authority.Fault {
	return func(o authority.Op) authority.Fault {
		if o == op {
			return f
		}
		return authority.Fault{}
	}
}

// once plays a fault the first time only.
func once(op authority.Op, f authority.Fault) func(authority.Op) authority.Fault {
	played := false
	return func(o authority.Op) authority.Fault {
		if o == op && !played {
			played = true
			return f
		}
		return authority.Fault{}
	}
}

// open starts a keeper on the store, as a process does.
func (w *world) open(files faultfs.FS) (*Keeper, *keystore.Store) {
	w.t.Helper()
	store, err := keystore.Open(files, w.root)
	if err != nil {
		w.t.Fatal(err)
	}
	k, err := New(w.cfg, store, w.ans, w.clock.Unix, zerolog.New(&w.log))
	if err != nil {
		w.t.Fatal(err)
	}
	w.set.keepers = []*Keeper{k}
	w.t.Cleanup(func() { store.Close() })
	return k, store
}

// until takes steps, moving the clock to each, until it is so; it fails after so many.
func (w *world) until(k *Keeper, what string, so func() bool) {
	w.t.Helper()
	for range 4000 {
		if so() {
			return
		}
		if at, now := k.Step(context.Background()), w.clock.Unix(); at.After(now) {
			w.clock.Advance(at.Sub(now))
		}
	}
	w.t.Fatalf("never comes to: %s\n%+v\n%s", what, k.Status(), w.log.String())
}

func (w *world) issued(k *Keeper, generation int) func() bool {
	return func() bool { return k.Status().Generation >= generation }
}

// handshake takes the certificate that a client gets.
func (w *world) handshake(name string, change func(*tls.Config)) (*x509.Certificate, error) {
	cfg := &tls.Config{ServerName: name, RootCAs: w.cfg.Roots, Time: w.clock.Unix}
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

func TestACertificateIsObtainedAndRenewed(t *testing.T) {
	for _, challenge := range []string{HTTP01, TLSALPN01} {
		for _, life := range []time.Duration{6 * day, 45 * day, 90 * day} {
			w := newWorld(t, life, challenge)
			k, _ := w.open(faultfs.Disk{})
			if _, err := w.handshake("site.example", nil); err == nil {
				t.Error("a handshake without a certificate")
			}
			for n := 1; n <= 3; n++ {
				w.until(k, fmt.Sprintf("generation %d", n), w.issued(k, n))
				if _, err := w.handshake("www.site.example", nil); err != nil {
					t.Errorf("%s, %v, generation %d: %v", challenge, life, n, err)
				}
			}
			if got := w.first.Issued(); got != 3 || w.other.Calls("") != 0 {
				t.Errorf("%s: %d were issued, want 3; %d calls to the second authority", challenge, got, w.other.Calls(""))
			}
			if o, err := k.store.Order("site"); err != nil || o.Stage != keystore.Ended || len(o.Key) > 0 {
				t.Errorf("the order is left at stage %d, %v", o.Stage, err)
			}
			if strings.Contains(w.log.String(), "PRIVATE") || !strings.Contains(w.log.String(), `"generation":3`) {
				t.Errorf("the log: %s", w.log.String())
			}
		}
	}
}

// TestAKillAtAnyStepOfAnOrderGoesOnWithIt has the process die at every change of the store, in the middle of a
// renewal, and another start: the old certificate serves, and one new one is issued.
func TestAKillAtAnyStepOfAnOrderGoesOnWithIt(t *testing.T) {
	kills := 0
	for at := 0; ; at++ {
		w := newWorld(t, 90*day, HTTP01)
		k, store := w.open(faultfs.Disk{})
		w.until(k, "the first", w.issued(k, 1))
		store.Close()
		files := faultfs.NewFaulty()
		k, store = w.open(files)
		at0 := files.Ops()
		files.KillAt(at0+at, at%7*9)
		w.clock.Advance(70 * day)
		for range 12 {
			k.Step(context.Background())
		}
		dead := files.Ops() > at0+at
		if k.Current() == nil {
			t.Fatalf("killed at change %d: nothing is served", at)
		}
		store.Close()
		k, _ = w.open(faultfs.Disk{})
		w.until(k, "the second", w.issued(k, 2))
		if got := w.first.Issued(); got != 2 {
			t.Errorf("killed at change %d: %d were issued, want 2", at, got)
		}
		if cert, err := w.handshake("site.example", nil); err != nil || cert.NotAfter.Before(w.clock.Unix().Add(80*day)) {
			t.Errorf("killed at change %d: %v", at, err)
		}
		if kills++; !dead {
			break
		}
	}
	if kills < 12 {
		t.Errorf("an order has only %d changes of the store", kills)
	}
}

// TestALostAnswerCostsNoSecondOrder has the answer to each kind of call lost after its effect.
func TestALostAnswerCostsNoSecondOrder(t *testing.T) {
	for _, op := range []authority.Op{authority.OpAccount, authority.OpOrder, authority.OpLook, authority.OpChallenge, authority.OpFinalize, authority.OpFetch} {
		w := newWorld(t, 90*day, HTTP01)
		w.play("first", once(op, authority.Fault{Lost: true}))
		k, _ := w.open(faultfs.Disk{})
		w.until(k, "the first", w.issued(k, 1))
		if got := w.first.Issued() + w.other.Issued(); got != 1 {
			t.Errorf("%s: %d were issued", op, got)
		}
		if h := k.History(); len(h) != 2 || h[0].What != "failed" || h[1].What != "issued" {
			t.Errorf("%s: history %+v", op, h)
		}
	}
}

// TestAFullDiskKeepsTheOldOneServing fails each write of a renewal for want of room.
func TestAFullDiskKeepsTheOldOneServing(t *testing.T) {
	for at := range 10 {
		w := newWorld(t, 90*day, HTTP01)
		files := faultfs.NewFaulty()
		k, _ := w.open(files)
		w.until(k, "the first", w.issued(k, 1))
		for i := range 3 {
			files.FullAt(files.Ops() + at + i)
		}
		w.clock.Advance(70 * day)
		w.until(k, "the second", func() bool {
			if _, err := w.handshake("site.example", nil); err != nil {
				t.Fatalf("write %d: %v", at, err)
			}
			return k.Status().Generation >= 2
		})
		if got := w.first.Issued() + w.other.Issued(); got != 2 {
			t.Errorf("write %d: %d were issued", at, got)
		}
	}
}

// TestRubbishIsKeptOut has an authority answer well and issue what must not be used.
func TestRubbishIsKeptOut(t *testing.T) {
	for _, r := range []authority.Rubbish{authority.WrongName, authority.AlreadyOver, authority.OtherKey, authority.NoPEM} {
		w := newWorld(t, 90*day, HTTP01)
		k, _ := w.open(faultfs.Disk{})
		w.until(k, "the first", w.issued(k, 1))
		w.play("first", on(authority.OpFinalize, authority.Fault{Rubbish: r}))
		w.clock.Advance(70 * day)
		old := k.Current().Leaf.SerialNumber
		w.until(k, "a failure", func() bool { return k.Status().Failures > 0 })
		if cert, err := w.handshake("site.example", nil); err != nil || cert.SerialNumber.Cmp(old) != 0 {
			t.Errorf("%s: another one is served, or none: %v", r, err)
		}
		w.until(k, "one of the second authority", w.issued(k, 2))
		if _, err := w.handshake("site.example", nil); err != nil || w.other.Issued() != 1 {
			t.Errorf("%s: %v, %d issued by the second authority", r, err, w.other.Issued())
		}
		w.play("first", nil)
		w.until(k, "the next", w.issued(k, 3))
		if w.other.Issued() != 1 {
			t.Errorf("%s: the first authority is not gone back to", r)
		}
	}
	w := newWorld(t, 90*day, HTTP01) // of two chains, the one that leads nowhere is passed over
	w.cfg.Roots = w.first.OtherRoots()
	w.play("first", on(authority.OpFinalize, authority.Fault{Rubbish: authority.BrokenChain}))
	k, _ := w.open(faultfs.Disk{})
	w.until(k, "by the alternate chain", w.issued(k, 1))
}

func TestAnAuthorityThatIsAwayForDays(t *testing.T) {
	for name, f := range map[string]func(authority.Op) authority.Fault{
		"down":         func(authority.Op) authority.Fault { return authority.Fault{Down: true} },
		"erring":       func(authority.Op) authority.Fault { return authority.Fault{Status: 503, RetryAfter: 20 * time.Minute} },
		"limiting":     on(authority.OpOrder, authority.Fault{Status: 429, Problem: "rateLimited", RetryAfter: 30 * time.Hour}),
		"bad nonces":   on(authority.OpFinalize, authority.Fault{BadNonce: true}),
		"validating":   on(authority.OpChallenge, authority.Fault{Pending: 30 * time.Hour}),
		"not willing":  on(authority.OpOrder, authority.Fault{Problem: "caa"}),
		"issuing late": on(authority.OpFinalize, authority.Fault{Pending: 30 * time.Hour}),
	} {
		w := newWorld(t, 6*day, HTTP01)
		w.cfg.Authorities = w.cfg.Authorities[:1]
		k, _ := w.open(faultfs.Disk{})
		w.until(k, "the first", w.issued(k, 1))
		before := w.first.Calls("")
		w.play("first", f)
		end := w.clock.Unix().Add(60 * time.Hour).Add(30 * time.Hour) // due after 60 to 66 hours; back 30 hours after that
		w.until(k, name+": the time that it comes back", func() bool { return w.clock.Unix().After(end) || k.Status().Generation > 1 })
		w.play("first", nil)
		w.until(k, name+": the second", w.issued(k, 2))
		if _, err := w.handshake("site.example", nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if left := k.Status().NotAfter.Sub(w.clock.Unix()); left < 5*day {
			t.Errorf("%s: good for %v", name, left)
		}
		if most := w.first.MostInAnHour(); most > 120 || w.first.Calls("")-before > 1200 {
			t.Errorf("%s: %d calls in an hour, %d in all", name, most, w.first.Calls("")-before)
		}
		if got := w.first.Issued(); got != 2 {
			t.Errorf("%s: %d were issued", name, got)
		}
	}
}

// TestWhatAnOrderReplacesIsACourtesy: refused, the order is asked for without it.
func TestWhatAnOrderReplacesIsACourtesy(t *testing.T) {
	w := newWorld(t, 90*day, HTTP01)
	k, _ := w.open(faultfs.Disk{})
	w.until(k, "the first", w.issued(k, 1))
	w.play("first", on(authority.OpOrder, authority.Fault{Replace: true}))
	w.until(k, "the second", w.issued(k, 2))
	if f := k.Status().Failures; f != 0 || w.other.Calls("") != 0 {
		t.Errorf("%d failures", f)
	}
}

// TestAMassRevocationIsLearnedOf: the authority moves its window into the past, and the next look renews.
func TestAMassRevocationIsLearnedOf(t *testing.T) {
	w := newWorld(t, 90*day, HTTP01)
	k, _ := w.open(faultfs.Disk{})
	w.until(k, "the first", w.issued(k, 1))
	from := w.clock.Unix()
	w.mu.Lock()
	w.moved = func() (time.Time, time.Time) { return from.Add(-2 * day), from.Add(-day) }
	w.mu.Unlock()
	w.until(k, "the second", w.issued(k, 2))
	if took := w.clock.Unix().Sub(from); took > day {
		t.Errorf("renewed after %v", took)
	}
}

func TestAStartWithoutAnAuthority(t *testing.T) {
	w := newWorld(t, 90*day, HTTP01)
	down := func(authority.Op) authority.Fault { return authority.Fault{Down: true} }
	w.play("first", down)
	w.play("other", down)
	k, store := w.open(faultfs.Disk{})
	k.Step(context.Background())
	if _, err := w.set.GetCertificate(&tls.ClientHelloInfo{ServerName: "site.example"}); !errors.Is(err, errNoCertificate) || !strings.Contains(w.log.String(), "self_signed") {
		t.Errorf("%v\n%s", err, w.log.String())
	}
	store.Close()
	w.cfg.SelfSigned = true
	k, _ = w.open(faultfs.Disk{})
	cert, err := w.handshake("site.example", func(c *tls.Config) { c.InsecureSkipVerify = true })
	if err != nil || cert.VerifyHostname("www.site.example") != nil || k.Status().Alarm != renewal.Warning.String() {
		t.Errorf("one of our own: %v, alarm %s", err, k.Status().Alarm)
	}
	w.play("first", nil)
	w.until(k, "the first", w.issued(k, 1))
	if _, err := w.handshake("site.example", nil); err != nil {
		t.Error(err)
	}
}

// TestTwoOnOneStore: one renews, the other serves what it stores and takes over when it dies.
func TestTwoOnOneStore(t *testing.T) {
	w := newWorld(t, 90*day, HTTP01)
	a, storeA := w.open(faultfs.Disk{})
	b, _ := w.open(faultfs.Disk{})
	w.until(a, "the first", w.issued(a, 1))
	b.Step(context.Background())
	if s := b.Status(); s.Generation != 1 || s.Leads || !a.Status().Leads {
		t.Errorf("the second: %+v", s)
	}
	storeA.Close()
	w.clock.Advance(70 * day)
	w.until(b, "the second certificate", w.issued(b, 2))
	if got := w.first.Issued(); got != 2 || !b.Status().Leads {
		t.Errorf("%d were issued; the second process renews: %v", got, b.Status().Leads)
	}
}

func TestRevokingAndChangingTheAccountKey(t *testing.T) {
	w := newWorld(t, 90*day, TLSALPN01)
	k, store := w.open(faultfs.Disk{})
	w.until(k, "the first", w.issued(k, 1))
	was, _ := store.Account("first")
	w.play("first", once(authority.OpKey, authority.Fault{Lost: true}))
	if err := k.ChangeAccountKey(context.Background(), "first"); err == nil {
		t.Error("the answer was lost, and it is not said")
	}
	if err := k.ChangeAccountKey(context.Background(), "first"); err != nil {
		t.Errorf("again: %v", err)
	}
	if now, _ := store.Account("first"); bytes.Equal(was.Key, now.Key) || len(now.Next) > 0 || now.URL != was.URL {
		t.Error("the key is not another one, or the account is")
	}
	if err := k.Revoke(context.Background(), acme.ReasonKeyCompromise); err != nil {
		t.Fatal(err)
	}
	w.until(k, "the second", w.issued(k, 2))
	if err := k.ChangeAccountKey(context.Background(), "nobody"); err == nil {
		t.Error("an authority that is not configured")
	}
}

func TestWhatClientsAskFor(t *testing.T) {
	w := newWorld(t, 90*day, HTTP01)
	k, _ := w.open(faultfs.Disk{})
	w.until(k, "the first", w.issued(k, 1))
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
		"TLS 1.1 alone":       func(c *tls.Config) { c.MinVersion, c.MaxVersion = tls.VersionTLS10, tls.VersionTLS11 },
		"a challenge of none": func(c *tls.Config) { c.NextProtos = []string{"acme-tls/1"} },
	} {
		if _, err := w.handshake("site.example", change); err == nil {
			t.Errorf("%s: a certificate is served", name)
		}
	}
}

// FuzzChain feeds what an authority may answer to what reads it.
func FuzzChain(f *testing.F) {
	g, err := selfSigned([]string{"site.example"}, time.Unix(0, int64(testkit.Start)), 90*day)
	if err != nil {
		f.Fatal(err)
	}
	cert, err := pair(g)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: g.Chain[0]}))
	f.Fuzz(func(t *testing.T, chain []byte) {
		der, err := check(chain, []string{"site.example"}, cert.PrivateKey.(crypto.Signer), time.Unix(0, int64(testkit.Start)), x509.NewCertPool())
		if err == nil {
			t.Errorf("%d certificates that lead to no root are taken", len(der))
		}
	})
}

// TestAnAccountThatNeedsABinding: with the key the authority gave it is made, with another it is not, and no key nor
// account secret is ever logged.
func TestAnAccountThatNeedsABinding(t *testing.T) {
	w := newWorld(t, 90*day, HTTP01)
	mac := []byte("thirty-two bytes of a MAC key ..")
	bound, err := authority.Start(authority.Config{Name: "bound", Now: w.clock.Unix, Lifetime: 90 * day, EAB: map[string][]byte{"kid": mac},
		Resolve: func(string, int) string { return w.plain }})
	if err != nil {
		t.Fatal(err)
	}
	defer bound.Close()
	for _, c := range bound.Certificates() {
		w.cfg.Roots.AddCert(c)
	}
	w.cfg.Authorities = []Authority{reach(bound, "bound")}
	k, store := w.open(faultfs.Disk{})
	k.Step(context.Background())
	if s := k.Status(); s.Failures != 1 || !strings.Contains(s.Last, "externalAccountRequired") {
		t.Errorf("without a binding: %+v", s)
	}
	store.Close()
	w.cfg.Authorities[0].EAB = &acme.EAB{KeyID: "kid", MACKey: base64.RawURLEncoding.EncodeToString(mac)}
	k, store = w.open(faultfs.Disk{})
	w.until(k, "the first", w.issued(k, 1))
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
