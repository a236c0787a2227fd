// Package certs obtains and renews certificates through ACME and hands them to the TLS front. What is done when is
// decided by renewal.Plan; this package carries it out and records each step in a keystore before it is taken.
//
// A Keeper keeps one certificate. Step takes the next step and says when the one after it is due; Run calls it for as
// long as the program lives. A certificate that works is never taken down: it is replaced, in one pointer, by one that
// was checked and stored first.
package certs

import (
	"context"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mholt/acmez/v3/acme"
	"github.com/rs/zerolog"

	"cairnlane/internal/decide/renewal"
	"cairnlane/internal/state/keystore"
)

// Authority is an ACME server to ask.
type Authority struct {
	Name      string
	Directory string
	EAB       *acme.EAB         // account binding, where it asks for one
	HTTP      http.RoundTripper // how it is reached; nil for the usual way
}

// Config is what a Keeper is told.
type Config struct {
	Name        string   // of the certificate, and of its folder in the store
	Names       []string // host names that it is for
	Authorities []Authority
	Challenge   string // http-01 or tls-alpn-01
	Contact     []string
	SelfSigned  bool           // serve one of our own until the first one comes
	Roots       *x509.CertPool // what issued chains must lead to; nil for the system's
	Plan        renewal.Settings
	CallTime    time.Duration // for one call to an authority
	PollTime    time.Duration // for a validation, after which the order rests until the next attempt
	PollEvery   time.Duration
}

const (
	defaultCallTime  = 30 * time.Second
	defaultPollTime  = time.Minute
	defaultPollEvery = time.Second
	// followEvery is how often a keeper that does not renew looks for what another one has stored.
	followEvery = time.Minute
	// eventsMost bounds what is kept for the history.
	eventsMost = 64
	// stopgapLife is how long a certificate of our own is good for.
	stopgapLife = 30 * 24 * time.Hour
)

// Keeper keeps one certificate.
type Keeper struct {
	cfg     Config
	store   *keystore.Store
	answers *Answers
	now     func() time.Time
	log     zerolog.Logger
	wake    chan struct{}

	current atomic.Pointer[tls.Certificate] // taken anew for each handshake

	stepping sync.Mutex // one step at a time; held over calls to an authority

	mu       sync.Mutex // guards what follows; never held over I/O
	plan     *renewal.Plan
	number   int    // of the generation in use
	key      []byte // and its key
	leads    bool   // this process renews
	order    keystore.Order
	clients  map[string]*client
	lastText string
}

// New opens what the store holds and takes the newest whole certificate into use. Without one, and with SelfSigned,
// it makes one of its own; without that there is nothing to serve until the first order is through.
func New(cfg Config, store *keystore.Store, answers *Answers, now func() time.Time, log zerolog.Logger) (*Keeper, error) {
	if len(cfg.Names) == 0 || cfg.Name == "" {
		return nil, errors.New("certs: a certificate needs a name and at least one host name")
	}
	if cfg.Challenge != HTTP01 && cfg.Challenge != TLSALPN01 {
		return nil, fmt.Errorf("certs: challenge %q; %s and %s are known", cfg.Challenge, HTTP01, TLSALPN01)
	}
	for d, def := range map[*time.Duration]time.Duration{&cfg.CallTime: defaultCallTime, &cfg.PollTime: defaultPollTime, &cfg.PollEvery: defaultPollEvery} {
		if *d <= 0 {
			*d = def
		}
	}
	cfg.Plan.Authorities = len(cfg.Authorities)
	if cfg.Plan.Budget == (renewal.Budget{}) {
		cfg.Plan.Budget = renewal.DefaultBudget
	}
	plan, err := renewal.New(now(), cfg.Plan)
	if err != nil {
		return nil, err
	}
	k := &Keeper{cfg: cfg, store: store, answers: answers, now: now, plan: plan, wake: make(chan struct{}, 1), clients: map[string]*client{},
		log: log.With().Str("certificate", cfg.Name).Logger()}
	order, err := store.Order(cfg.Name)
	if err != nil && !errors.Is(err, keystore.ErrNone) {
		return nil, err
	}
	k.remember(order)
	switch err := k.load(); {
	case err == nil:
	case !errors.Is(err, keystore.ErrNone):
		return nil, err
	case cfg.SelfSigned:
		if err := k.stopgap(); err != nil {
			return nil, err
		}
	default:
		k.log.Warn().Msg("no certificate yet: handshakes fail until the first one is obtained; self_signed = true serves one of our own until then")
	}
	return k, nil
}

// remember puts the record of orders back, so that the budget and the answers to open challenges outlive a restart.
func (k *Keeper) remember(o keystore.Order) {
	k.order = o
	for _, h := range o.History {
		k.plan.Remembers(k.place(h.Authority), h.Begun)
	}
	for _, a := range o.Answers {
		if err := k.answers.present(a); err != nil {
			k.log.Error().Err(err).Msg("an open challenge is not answered")
		}
	}
}

// place is the place of an authority in the configuration, or -1.
func (k *Keeper) place(name string) int {
	return slices.IndexFunc(k.cfg.Authorities, func(a Authority) bool { return a.Name == name })
}

// load takes the newest certificate of the store into use, if it is another one than that in use.
func (k *Keeper) load() error {
	g, number, err := k.store.Generation(k.cfg.Name)
	if err != nil {
		return err
	}
	if number == k.number {
		return nil
	}
	cert, err := pair(g)
	if err != nil {
		return fmt.Errorf("certs: generation %d of %s: %w", number, k.cfg.Name, err)
	}
	k.use(cert, g, number)
	return nil
}

// use takes a certificate into use: handshakes that begin from now on get it.
func (k *Keeper) use(cert *tls.Certificate, g keystore.Generation, number int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number, k.key = number, g.Key
	k.plan.Issued(k.now(), renewal.Held{Serial: cert.Leaf.SerialNumber.String(), NotBefore: cert.Leaf.NotBefore, NotAfter: cert.Leaf.NotAfter,
		Stopgap: g.Authority == "", FromSecond: k.place(g.Authority) != 0})
	k.current.Store(cert)
	k.log.Info().Int("generation", number).Str("authority", g.Authority).Time("not_after", cert.Leaf.NotAfter).Msg("certificate in use")
}

// stopgap makes a certificate of our own.
func (k *Keeper) stopgap() error {
	g, err := selfSigned(k.cfg.Names, k.now(), stopgapLife)
	if err != nil {
		return err
	}
	cert, err := pair(g)
	if err != nil {
		return err
	}
	k.use(cert, g, 0)
	return nil
}

// Current is the certificate in use, or nil. It is safe to call from any handshake.
func (k *Keeper) Current() *tls.Certificate { return k.current.Load() }

// Run takes steps until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		at := k.Step(ctx)
		t := time.NewTimer(max(at.Sub(k.now()), 0))
		select {
		case <-t.C:
		case <-k.wake:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// Step takes what is due now, and tells when to come again.
func (k *Keeper) Step(ctx context.Context) time.Time {
	k.stepping.Lock()
	defer k.stepping.Unlock()
	if !k.lead() {
		return k.now().Add(followEvery)
	}
	k.mu.Lock()
	a := k.plan.Next(k.now())
	k.mu.Unlock()
	switch a.Kind {
	case renewal.Wait:
		return a.At
	case renewal.Ask:
		k.ask(ctx, k.cfg.Authorities[a.Authority])
	case renewal.Order:
		k.obtain(ctx, a)
	}
	return k.now()
}

// lead tells whether this process renews. One that does not takes over what the other stores, and the work when
// the other dies.
func (k *Keeper) lead() bool {
	k.mu.Lock()
	leads := k.leads
	k.mu.Unlock()
	if leads {
		return true
	}
	err := k.store.Lock()
	if lerr := k.load(); lerr != nil && !errors.Is(lerr, keystore.ErrNone) {
		k.log.Error().Err(lerr).Msg("the store cannot be read; the certificate in use stays")
	}
	if err != nil {
		if !errors.Is(err, keystore.ErrLocked) {
			k.log.Error().Err(err).Msg("the store cannot be locked; certificates are not renewed")
		}
		return false
	}
	if o, err := k.store.Order(k.cfg.Name); err == nil {
		k.mu.Lock()
		k.remember(o)
		k.mu.Unlock()
	}
	k.mu.Lock()
	k.leads = true
	k.mu.Unlock()
	return true
}

// ask asks an authority when it would like the certificate to be renewed.
func (k *Keeper) ask(ctx context.Context, au Authority) {
	cert := k.Current()
	if cert == nil {
		return
	}
	c := k.client(au)
	ctx, done := c.call(ctx, k.cfg.CallTime)
	defer done()
	info, err := c.acme.GetRenewalInfo(ctx, cert.Leaf)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.log.Debug().Err(err).Msg("the authority suggests no window")
		k.plan.NotSuggested(k.now())
		return
	}
	again := time.Duration(0)
	if info.RetryAfter != nil {
		again = time.Until(*info.RetryAfter) // the client counts from the system's clock
	}
	was := k.plan.DueAt()
	k.plan.Suggested(k.now(), renewal.Window{Start: info.SuggestedWindow.Start, End: info.SuggestedWindow.End}, again)
	if at := k.plan.DueAt(); at.Sub(was).Abs() > 24*time.Hour {
		k.log.Info().Time("due", at).Str("explanation", info.ExplanationURL).Msg("the authority has moved the renewal")
	}
}

// Status is how a certificate stands, for the operators.
type Status struct {
	Name       string    `json:"name"`
	Names      []string  `json:"names"`
	Generation int       `json:"generation"`
	Authority  string    `json:"authority,omitempty"`
	NotBefore  time.Time `json:"not_before"`
	NotAfter   time.Time `json:"not_after"`
	Due        time.Time `json:"due"`
	Phase      string    `json:"phase"`
	Alarm      string    `json:"alarm"`
	Failures   int       `json:"failures"`
	Leads      bool      `json:"renews_here"`
	Last       string    `json:"last,omitempty"`
}

// Status tells how the certificate stands now.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{Name: k.cfg.Name, Names: k.cfg.Names, Generation: k.number, Phase: k.plan.Phase().String(), Alarm: k.plan.Alarm(k.now()).String(),
		Failures: k.plan.Failures(), Leads: k.leads, Due: k.plan.DueAt(), Last: k.lastText}
	if h, ok := k.plan.Held(); ok {
		s.NotBefore, s.NotAfter = h.NotBefore, h.NotAfter
	}
	return s
}

// History lists what has happened, oldest first.
func (k *Keeper) History() []keystore.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.order.Events)
}

// Renew has the certificate renewed now, within the budget.
func (k *Keeper) Renew() {
	k.mu.Lock()
	now := k.now()
	k.plan.Suggested(now, renewal.Window{Start: now.Add(-2 * time.Second), End: now.Add(-time.Second)}, 0)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Revoke revokes the certificate in use at its authority, by its own key, and has it renewed.
func (k *Keeper) Revoke(ctx context.Context, reason int) error {
	k.stepping.Lock()
	defer k.stepping.Unlock()
	g, _, err := k.store.Generation(k.cfg.Name)
	if err != nil {
		return err
	}
	at := k.place(g.Authority)
	if at < 0 {
		return fmt.Errorf("certs: %s is from %q, which is not configured any more", k.cfg.Name, g.Authority)
	}
	cert, err := pair(g)
	if err != nil {
		return err
	}
	c := k.client(k.cfg.Authorities[at])
	ctx, done := c.call(ctx, k.cfg.CallTime)
	defer done()
	err = c.acme.RevokeCertificate(ctx, acme.Account{PrivateKey: cert.PrivateKey.(crypto.Signer)}, cert.Leaf, cert.PrivateKey.(crypto.Signer), reason)
	var p acme.Problem
	if err != nil && !(errors.As(err, &p) && renewal.ShortKind(p.Type) == "alreadyRevoked") {
		return fmt.Errorf("certs: revoke %s at %s: %w", k.cfg.Name, g.Authority, err)
	}
	k.note("revoked", fmt.Sprintf("reason %d, serial %v", reason, cert.Leaf.SerialNumber))
	k.Renew()
	return nil
}

// note keeps an event for the history. It is stored with the next change of the order.
func (k *Keeper) note(what, text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastText = what + ": " + text
	k.order.Events = append(k.order.Events, keystore.Event{At: k.now(), What: what, Text: text})
	if extra := len(k.order.Events) - eventsMost; extra > 0 {
		k.order.Events = append([]keystore.Event(nil), k.order.Events[extra:]...)
	}
}
