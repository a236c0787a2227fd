// Package certs obtains and renews certificates through ACME and provides them to the TLS listener. renewal.Plan
// decides what is done and when; this package carries it out and records each step in a keystore beforehand.
//
// A Manager manages one certificate. Step performs the next action and returns the time of the one after it; Run calls
// it until the program ends. A working certificate stays in use until a new one has been verified and stored, and is
// then replaced by one atomic pointer store.
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

// Authority is the configuration of an ACME server.
type Authority struct {
	Name      string
	Directory string
	EAB       *acme.EAB         // external account binding, if the authority requires one
	HTTP      http.RoundTripper // nil for http.DefaultTransport
}

// Config configures a Manager.
type Config struct {
	Name         string   // name of the certificate and of its folder in the store
	Names        []string // host names of the certificate
	Authorities  []Authority
	Challenge    string // http-01 or tls-alpn-01
	Contact      []string
	SelfSigned   bool           // serve a self-signed placeholder until the first certificate is issued
	Roots        *x509.CertPool // roots that issued chains are verified against; nil for the system's roots
	Plan         renewal.Settings
	CallTimeout  time.Duration // timeout of one call to an authority
	PollTimeout  time.Duration // timeout of a validation, after which the order waits for the next attempt
	PollInterval time.Duration // interval of the queries for the state of a validation or an order
}

const (
	defaultCallTimeout  = 30 * time.Second
	defaultPollTimeout  = time.Minute
	defaultPollInterval = time.Second
	// followInterval is the interval in which a manager that does not hold the store's lock reloads the certificate that
	// another process stored.
	followInterval = time.Minute
	// maxEvents is the maximum number of events in the history.
	maxEvents = 64
	// placeholderLifetime is the lifetime of a self-signed placeholder certificate.
	placeholderLifetime = 30 * 24 * time.Hour
)

// Manager obtains, renews and stores one certificate.
type Manager struct {
	cfg       Config
	store     *keystore.Store
	responses *ChallengeResponses
	now       func() time.Time
	log       zerolog.Logger
	wake      chan struct{}

	current atomic.Pointer[tls.Certificate] // loaded for each handshake

	stepMu sync.Mutex // allows one step at a time; held during calls to an authority

	mu         sync.Mutex // guards the fields below; never held during I/O
	plan       *renewal.Plan
	generation int    // number of the stored certificate in use, 0 for a placeholder
	key        []byte // private key of the certificate in use
	renewsHere bool   // this process holds the store's lock and renews the certificate
	order      keystore.Order
	clients    map[string]*client
	lastEvent  string
}

// New loads the newest intact certificate of the store. Without one it makes a self-signed placeholder if SelfSigned
// is set; otherwise handshakes fail until the first order has completed.
func New(cfg Config, store *keystore.Store, responses *ChallengeResponses, now func() time.Time, log zerolog.Logger) (*Manager, error) {
	if len(cfg.Names) == 0 || cfg.Name == "" {
		return nil, errors.New("certs: a certificate needs a name and at least one host name")
	}
	if cfg.Challenge != HTTP01 && cfg.Challenge != TLSALPN01 {
		return nil, fmt.Errorf("certs: unknown challenge %q: supported are %s and %s", cfg.Challenge, HTTP01, TLSALPN01)
	}
	for d, def := range map[*time.Duration]time.Duration{&cfg.CallTimeout: defaultCallTimeout, &cfg.PollTimeout: defaultPollTimeout, &cfg.PollInterval: defaultPollInterval} {
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
	k := &Manager{cfg: cfg, store: store, responses: responses, now: now, plan: plan, wake: make(chan struct{}, 1), clients: map[string]*client{},
		log: log.With().Str("certificate", cfg.Name).Logger()}
	order, err := store.Order(cfg.Name)
	if err != nil && !errors.Is(err, keystore.ErrNotFound) {
		return nil, err
	}
	k.restoreOrder(order)
	switch err := k.loadNewest(); {
	case err == nil:
	case !errors.Is(err, keystore.ErrNotFound):
		return nil, err
	case cfg.SelfSigned:
		if err := k.installPlaceholder(); err != nil {
			return nil, err
		}
	default:
		k.log.Warn().Msg("no certificate available: handshakes fail until the first one is issued; self_signed = true serves a self-signed certificate until then")
	}
	return k, nil
}

// restoreOrder restores the recorded orders, so that the budget and the responses to pending challenges survive a
// restart.
func (k *Manager) restoreOrder(o keystore.Order) {
	k.order = o
	for _, h := range o.History {
		k.plan.RestoreOrder(k.authorityIndex(h.Authority), h.Begun)
	}
	for _, a := range o.Answers {
		if err := k.responses.add(a); err != nil {
			k.log.Error().Err(err).Msg("cannot serve the response to a pending challenge")
		}
	}
}

// authorityIndex returns the index of an authority in the configuration, or -1.
func (k *Manager) authorityIndex(name string) int {
	return slices.IndexFunc(k.cfg.Authorities, func(a Authority) bool { return a.Name == name })
}

// loadNewest installs the newest certificate of the store unless it is already in use.
func (k *Manager) loadNewest() error {
	g, number, err := k.store.Generation(k.cfg.Name)
	if err != nil {
		return err
	}
	if number == k.generation {
		return nil
	}
	cert, err := tlsCertificate(g)
	if err != nil {
		return fmt.Errorf("certs: generation %d of %s: %w", number, k.cfg.Name, err)
	}
	k.install(cert, g, number)
	return nil
}

// install makes new handshakes use a certificate and reports it to the plan.
func (k *Manager) install(cert *tls.Certificate, g keystore.Generation, number int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.generation, k.key = number, g.Key
	k.plan.CertificateIssued(k.now(), renewal.Certificate{Serial: cert.Leaf.SerialNumber.String(), NotBefore: cert.Leaf.NotBefore, NotAfter: cert.Leaf.NotAfter,
		Placeholder: g.Authority == "", FromFallback: k.authorityIndex(g.Authority) != 0})
	k.current.Store(cert)
	k.log.Info().Int("generation", number).Str("authority", g.Authority).Time("not_after", cert.Leaf.NotAfter).Msg("certificate in use")
}

// installPlaceholder makes and installs a self-signed certificate. It is not stored.
func (k *Manager) installPlaceholder() error {
	g, err := selfSigned(k.cfg.Names, k.now(), placeholderLifetime)
	if err != nil {
		return err
	}
	cert, err := tlsCertificate(g)
	if err != nil {
		return err
	}
	k.install(cert, g, 0)
	return nil
}

// Current returns the certificate in use, or nil. It is safe for concurrent use.
func (k *Manager) Current() *tls.Certificate { return k.current.Load() }

// Run calls Step whenever it is due until ctx ends.
func (k *Manager) Run(ctx context.Context) {
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

// Step performs the action that is due now and returns the time of the next call.
func (k *Manager) Step(ctx context.Context) time.Time {
	k.stepMu.Lock()
	defer k.stepMu.Unlock()
	if !k.acquireRenewal() {
		return k.now().Add(followInterval)
	}
	k.mu.Lock()
	a := k.plan.Next(k.now())
	k.mu.Unlock()
	switch a.Kind {
	case renewal.Wait:
		return a.At
	case renewal.AskWindow:
		k.fetchWindow(ctx, k.cfg.Authorities[a.Authority])
	case renewal.Order:
		k.obtain(ctx, a)
	}
	return k.now()
}

// acquireRenewal reports whether this process renews the certificate. If it does not hold the store's lock yet, it
// loads the certificate that the lock's holder stored and tries to lock the store, which succeeds once the holder has
// ended.
func (k *Manager) acquireRenewal() bool {
	k.mu.Lock()
	renewsHere := k.renewsHere
	k.mu.Unlock()
	if renewsHere {
		return true
	}
	err := k.store.Lock()
	if lerr := k.loadNewest(); lerr != nil && !errors.Is(lerr, keystore.ErrNotFound) {
		k.log.Error().Err(lerr).Msg("cannot read the certificate store; keeping the certificate in use")
	}
	if err != nil {
		if !errors.Is(err, keystore.ErrLocked) {
			k.log.Error().Err(err).Msg("cannot lock the certificate store; certificates are not renewed")
		}
		return false
	}
	if o, err := k.store.Order(k.cfg.Name); err == nil {
		k.mu.Lock()
		k.restoreOrder(o)
		k.mu.Unlock()
	}
	k.mu.Lock()
	k.renewsHere = true
	k.mu.Unlock()
	return true
}

// fetchWindow requests the suggested renewal window of the certificate from an authority, RFC 9773.
func (k *Manager) fetchWindow(ctx context.Context, authority Authority) {
	cert := k.Current()
	if cert == nil {
		return
	}
	c := k.client(authority)
	ctx, done := c.beginAttempt(ctx, k.cfg.CallTimeout)
	defer done()
	info, err := c.acme.GetRenewalInfo(ctx, cert.Leaf)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.log.Debug().Err(err).Msg("cannot get the renewal window from the authority")
		k.plan.WindowFailed(k.now())
		return
	}
	askAgainAfter := time.Duration(0)
	if info.RetryAfter != nil {
		askAgainAfter = time.Until(*info.RetryAfter) // the ACME library computes it from the system clock
	}
	previousDue := k.plan.DueAt()
	k.plan.SetWindow(k.now(), renewal.Window{Start: info.SuggestedWindow.Start, End: info.SuggestedWindow.End}, askAgainAfter)
	if at := k.plan.DueAt(); at.Sub(previousDue).Abs() > 24*time.Hour {
		k.log.Info().Time("due", at).Str("explanation", info.ExplanationURL).Msg("the authority changed the renewal window; the renewal time moved by more than a day")
	}
}

// Status is the state of a certificate that operators see.
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
	RenewsHere bool      `json:"renews_here"`
	LastEvent  string    `json:"last,omitempty"`
}

// Status returns the current state of the certificate.
func (k *Manager) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{Name: k.cfg.Name, Names: k.cfg.Names, Generation: k.generation, Phase: k.plan.Phase().String(), Alarm: k.plan.Alarm(k.now()).String(),
		Failures: k.plan.Failures(), RenewsHere: k.renewsHere, Due: k.plan.DueAt(), LastEvent: k.lastEvent}
	if h, ok := k.plan.Current(); ok {
		s.NotBefore, s.NotAfter = h.NotBefore, h.NotAfter
	}
	return s
}

// History returns the recorded events, oldest first.
func (k *Manager) History() []keystore.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.order.Events)
}

// Renew starts a renewal now, within the order budget. It sets a suggested window in the past.
func (k *Manager) Renew() {
	k.mu.Lock()
	now := k.now()
	k.plan.SetWindow(now, renewal.Window{Start: now.Add(-2 * time.Second), End: now.Add(-time.Second)}, 0)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Revoke revokes the newest stored certificate at its authority, signing the request with the certificate's own key, and
// starts a renewal.
func (k *Manager) Revoke(ctx context.Context, reason int) error {
	k.stepMu.Lock()
	defer k.stepMu.Unlock()
	g, _, err := k.store.Generation(k.cfg.Name)
	if err != nil {
		return err
	}
	at := k.authorityIndex(g.Authority)
	if at < 0 {
		return fmt.Errorf("certs: cannot revoke %s: its authority %q is no longer configured", k.cfg.Name, g.Authority)
	}
	cert, err := tlsCertificate(g)
	if err != nil {
		return err
	}
	c := k.client(k.cfg.Authorities[at])
	ctx, done := c.beginAttempt(ctx, k.cfg.CallTimeout)
	defer done()
	err = c.acme.RevokeCertificate(ctx, acme.Account{PrivateKey: cert.PrivateKey.(crypto.Signer)}, cert.Leaf, cert.PrivateKey.(crypto.Signer), reason)
	var p acme.Problem
	if err != nil && !(errors.As(err, &p) && renewal.TrimProblemPrefix(p.Type) == "alreadyRevoked") {
		return fmt.Errorf("certs: revoke %s at %s: %w", k.cfg.Name, g.Authority, err)
	}
	k.addEvent("revoked", fmt.Sprintf("reason %d, serial %v", reason, cert.Leaf.SerialNumber))
	k.Renew()
	return nil
}

// addEvent appends an event to the history. It is stored with the next change of the order.
func (k *Manager) addEvent(what, text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastEvent = what + ": " + text
	k.order.Events = append(k.order.Events, keystore.Event{At: k.now(), What: what, Text: text})
	if extra := len(k.order.Events) - maxEvents; extra > 0 {
		k.order.Events = append([]keystore.Event(nil), k.order.Events[extra:]...)
	}
}
