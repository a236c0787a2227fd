package certs

import (
	"bytes"
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/mholt/acmez/v3"
	"github.com/mholt/acmez/v3/acme"

	"cairnlane/internal/decide/renewal"
	"cairnlane/internal/state/keystore"
)

// obtain starts an order or resumes the recorded one, and reports the result to the plan.
func (k *Manager) obtain(ctx context.Context, a renewal.Action) {
	authority := k.cfg.Authorities[a.Authority]
	k.mu.Lock()
	o := k.order
	failures := k.plan.Failures()
	done := bytes.Equal(o.Key, k.key) // the order's certificate is already in use; only the end of the order was not recorded
	k.mu.Unlock()
	resumed := o.Stage != keystore.Ended && o.Authority == authority.Name && len(o.Key) > 0 && !done && slices.Equal(o.Names, k.cfg.Names)
	var err error
	if !resumed {
		o, err = k.beginOrder(o, authority, a)
	}
	k.mu.Lock()
	k.plan.OrderStarted(k.now(), a.Authority, resumed)
	k.mu.Unlock()
	c := k.client(authority)
	if err == nil {
		ctx, done := c.beginAttempt(ctx, k.cfg.CallTimeout+k.cfg.PollTimeout)
		err = k.completeOrder(ctx, c, authority, o)
		done()
	}
	if err == nil {
		return
	}
	if ctx.Err() != nil { // the program is stopping; the order is resumed at the next start
		k.mu.Lock()
		k.plan.OrderFailed(k.now(), renewal.Outcome{Class: renewal.Transient})
		k.mu.Unlock()
		return
	}
	failure := c.failure(err, failures)
	outcome := renewal.Classify(failure)
	k.addEvent("failed", fmt.Sprintf("at %s, %v: %v", authority.Name, outcome.Class, err))
	k.mu.Lock()
	k.plan.OrderFailed(k.now(), outcome)
	alarm, next := k.plan.Alarm(k.now()), k.plan.Next(k.now())
	k.mu.Unlock()
	ev := k.log.Warn()
	if alarm >= renewal.Warning {
		ev = k.log.Error()
	}
	ev.Err(err).Str("authority", authority.Name).Stringer("class", outcome.Class).Stringer("alarm", alarm).Time("next", next.At).
		Msg("certificate order failed; the certificate in use is kept")
}

// beginOrder records a new order with its key before any request is sent.
func (k *Manager) beginOrder(previous keystore.Order, authority Authority, a renewal.Action) (keystore.Order, error) {
	key, err := newKey()
	if err != nil {
		return previous, fmt.Errorf("%w: %w", errLocal, err)
	}
	now := k.now()
	k.responses.remove(previous.Answers)
	order := keystore.Order{Stage: keystore.KeyCreated, Authority: authority.Name, Key: key, Begun: now, Names: k.cfg.Names,
		History: slices.DeleteFunc(slices.Clone(previous.History), func(h keystore.Attempt) bool { return now.Sub(h.Begun) > 7*24*time.Hour })}
	order.History = append(order.History, keystore.Attempt{Authority: authority.Name, Begun: now})
	if cert := k.Current(); a.Replaces && cert != nil {
		if id, err := acme.ARIUniqueIdentifier(cert.Leaf); err == nil {
			order.Replaces = id
		}
	}
	return order, k.recordOrder(&order)
}

// recordOrder stores the state of an order together with the manager's events.
func (k *Manager) recordOrder(o *keystore.Order) error {
	k.mu.Lock()
	o.Events = slices.Clone(k.order.Events)
	k.mu.Unlock()
	if err := k.store.PutOrder(k.cfg.Name, *o); err != nil {
		return fmt.Errorf("%w: %w", errLocal, err)
	}
	k.mu.Lock()
	k.order = *o
	k.mu.Unlock()
	return nil
}

// endOrder records that an order has completed or failed, so that the next attempt starts a new one.
func (k *Manager) endOrder(o *keystore.Order) error {
	k.responses.remove(o.Answers)
	o.Stage, o.Key, o.URL, o.Answers = keystore.Ended, nil, "", nil
	return k.recordOrder(o)
}

// completeOrder runs an order from its recorded stage until its certificate is installed. Each step is recorded
// before it is performed, so after a kill between two steps the same order is resumed.
func (k *Manager) completeOrder(ctx context.Context, c *client, authority Authority, o keystore.Order) error {
	account, err := k.account(ctx, c, authority)
	if err != nil {
		return fmt.Errorf("account: %w", err)
	}
	order, err := k.getOrCreateOrder(ctx, c, account, &o)
	if err != nil {
		return err
	}
	if order.Status == acme.StatusPending {
		if err := k.completeChallenges(ctx, c, account, order, &o); err != nil {
			if errors.Is(err, errInvalid) {
				err = errors.Join(err, k.endOrder(&o))
			}
			return err
		}
		if order, err = c.acme.GetOrder(ctx, account, acme.Order{Location: o.URL}); err != nil {
			return fmt.Errorf("get order: %w", err)
		}
	}
	key, err := x509.ParsePKCS8PrivateKey(o.Key)
	if err != nil {
		return errors.Join(fmt.Errorf("%w: parse the order's key: %w", errLocal, err), k.endOrder(&o))
	}
	signer := key.(crypto.Signer)
	if order.Status == acme.StatusReady {
		if o.Stage != keystore.Finalizing {
			o.Stage = keystore.Finalizing
			if err := k.recordOrder(&o); err != nil {
				return err
			}
		}
		csr, err := acmez.NewCSR(signer, k.cfg.Names)
		if err != nil {
			return fmt.Errorf("%w: %w", errLocal, err)
		}
		if order, err = c.acme.FinalizeOrder(ctx, account, order, csr.Raw); err != nil {
			return fmt.Errorf("finalize: %w", err)
		}
	}
	switch order.Status {
	case acme.StatusValid:
	case acme.StatusProcessing, acme.StatusPending, acme.StatusReady:
		return fmt.Errorf("order is still %s; the next attempt resumes it", order.Status)
	default:
		why := fmt.Errorf("%w: order has status %s", errInvalid, order.Status)
		if order.Error != nil {
			why = fmt.Errorf("%w: %w", why, *order.Error)
		}
		return errors.Join(why, k.endOrder(&o))
	}
	return k.fetchCertificate(ctx, c, account, authority, order, &o, signer)
}

// getOrCreateOrder returns the order at the authority. If its URL is not recorded yet, a new order is created.
func (k *Manager) getOrCreateOrder(ctx context.Context, c *client, account acme.Account, o *keystore.Order) (acme.Order, error) {
	if o.URL != "" {
		order, err := c.acme.GetOrder(ctx, account, acme.Order{Location: o.URL})
		var p acme.Problem
		if errors.As(err, &p) && (p.Status == 404 || p.Status == 403) { // the authority no longer has the order
			err = errors.Join(err, k.endOrder(o))
		}
		if err != nil {
			return order, fmt.Errorf("get order: %w", err)
		}
		order.Location = o.URL
		return order, nil
	}
	want := acme.Order{Replaces: o.Replaces}
	for _, name := range k.cfg.Names {
		want.Identifiers = append(want.Identifiers, acme.Identifier{Type: "dns", Value: name})
	}
	order, err := c.acme.NewOrder(ctx, account, want)
	var p acme.Problem
	if o.Replaces != "" && errors.As(err, &p) && (p.Status == 400 || p.Status == 404 || p.Status == 409) {
		// The replaces field is optional, RFC 9773 section 5; an order must not fail because of it.
		k.log.Info().Err(err).Msg("the authority rejected the replaces field; repeating the order without it")
		o.Replaces, want.Replaces = "", ""
		order, err = c.acme.NewOrder(ctx, account, want)
	}
	if err != nil {
		return order, fmt.Errorf("new order: %w", err)
	}
	o.Stage, o.URL = keystore.Ordered, order.Location
	return order, k.recordOrder(o)
}

// completeChallenges completes one challenge for each name of an order that is not validated yet.
func (k *Manager) completeChallenges(ctx context.Context, c *client, account acme.Account, order acme.Order, o *keystore.Order) error {
	for _, url := range order.Authorizations {
		authz, err := c.acme.GetAuthorization(ctx, account, url)
		if err != nil {
			return fmt.Errorf("get authorization: %w", err)
		}
		if authz.Status == acme.StatusValid {
			continue
		}
		i := slices.IndexFunc(authz.Challenges, func(challenge acme.Challenge) bool { return challenge.Type == k.cfg.Challenge })
		if i < 0 {
			return fmt.Errorf("%w: challenge %s is not offered for %s", errInvalid, k.cfg.Challenge, authz.Identifier.Value)
		}
		challenge := authz.Challenges[i]
		answer := keystore.ChallengeResponse{Type: challenge.Type, Name: authz.Identifier.Value, Token: challenge.Token, Value: challenge.KeyAuthorization}
		if !slices.Contains(o.Answers, answer) { // the response is served until the order ends, also after a restart
			o.Answers = append(o.Answers, answer)
			if err := k.recordOrder(o); err != nil {
				return err
			}
		}
		if err := k.responses.add(answer); err != nil {
			return fmt.Errorf("%w: %w", errLocal, err)
		}
		if challenge.Status == acme.StatusPending && authz.Status == acme.StatusPending {
			if _, err := c.acme.InitiateChallenge(ctx, account, challenge); err != nil {
				return fmt.Errorf("initiate challenge: %w", err)
			}
		}
		if authz, err = c.acme.PollAuthorization(ctx, account, authz); err != nil {
			if authz.Status == acme.StatusInvalid || authz.Status == "expired" || authz.Status == "deactivated" || authz.Status == "revoked" {
				return fmt.Errorf("%w: %s: %w", errInvalid, authz.Identifier.Value, err)
			}
			return fmt.Errorf("poll validation of %s: %w", authz.Identifier.Value, err)
		}
	}
	return nil
}

// fetchCertificate downloads the issued certificate, verifies it, stores it and installs it, in this order.
func (k *Manager) fetchCertificate(ctx context.Context, c *client, account acme.Account, authority Authority, order acme.Order, o *keystore.Order, key crypto.Signer) error {
	chains, err := c.acme.GetCertificateChain(ctx, account, order.Certificate)
	if err != nil {
		if ctx.Err() == nil && c.lastCallSucceeded() {
			return errors.Join(fmt.Errorf("%w: %w", errUnusable, err), k.endOrder(o))
		}
		return fmt.Errorf("fetch certificate: %w", err)
	}
	var bad error
	for _, chain := range chains {
		der, err := verifyChain(chain.ChainPEM, k.cfg.Names, key, k.now(), k.cfg.Roots)
		if err != nil {
			bad = errors.Join(bad, err)
			continue
		}
		g := keystore.Generation{Key: o.Key, Chain: der, Authority: authority.Name, Stored: k.now()}
		if err := k.store.PutGeneration(k.cfg.Name, g); err != nil {
			return fmt.Errorf("%w: %w", errLocal, err) // the next attempt fetches it again
		}
		k.addEvent("issued", fmt.Sprintf("by %s", authority.Name))
		if err := k.loadNewest(); err != nil {
			return fmt.Errorf("%w: %w", errLocal, err)
		}
		if err := k.endOrder(o); err != nil { // at the next start the order is found valid and its certificate is fetched once more, which is harmless
			k.log.Error().Err(err).Msg("cannot record the end of the order")
		}
		return nil
	}
	if bad == nil {
		bad = errors.New("the authority returned no certificate chain")
	}
	return errors.Join(fmt.Errorf("%w: %w", errUnusable, bad), k.endOrder(o))
}

// lastCallSucceeded reports whether no call of the attempt got an HTTP error response.
func (c *client) lastCallSucceeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status == 0
}

// account returns the account at an authority and creates it if there is none. Its key is stored before it is used.
func (k *Manager) account(ctx context.Context, c *client, authority Authority) (acme.Account, error) {
	stored, err := k.store.Account(authority.Name)
	if errors.Is(err, keystore.ErrNotFound) {
		if stored.Key, err = newKey(); err == nil {
			stored.Contact = k.cfg.Contact
			err = k.store.PutAccount(authority.Name, stored)
		}
	}
	if err != nil {
		return acme.Account{}, fmt.Errorf("%w: %w", errLocal, err)
	}
	key, err := x509.ParsePKCS8PrivateKey(stored.Key)
	if err != nil {
		return acme.Account{}, fmt.Errorf("%w: parse the key of the account at %s: %w", errLocal, authority.Name, err)
	}
	a := acme.Account{Contact: k.cfg.Contact, TermsOfServiceAgreed: true, Location: stored.URL, PrivateKey: key.(crypto.Signer)}
	if len(stored.Next) > 0 {
		return k.completeKeyChange(ctx, c, authority, stored, a)
	}
	if stored.URL != "" {
		return a, nil
	}
	if authority.EAB != nil {
		if err := a.SetExternalAccountBinding(ctx, c.acme, *authority.EAB); err != nil {
			return a, err
		}
	}
	created, err := c.acme.NewAccount(ctx, a) // returns the existing account if the authority knows the key
	if err != nil {
		return a, err
	}
	stored.URL, a.Location = created.Location, created.Location
	if err := k.store.PutAccount(authority.Name, stored); err != nil {
		return a, fmt.Errorf("%w: %w", errLocal, err)
	}
	return a, nil
}

// ChangeAccountKey replaces the key of the account at an authority. The new key is stored before the request is sent.
func (k *Manager) ChangeAccountKey(ctx context.Context, authority string) error {
	k.stepMu.Lock()
	defer k.stepMu.Unlock()
	at := k.authorityIndex(authority)
	if at < 0 {
		return fmt.Errorf("certs: authority %q is not configured", authority)
	}
	stored, err := k.store.Account(authority)
	if err != nil {
		return err
	}
	if len(stored.Next) == 0 {
		if stored.Next, err = newKey(); err != nil {
			return err
		}
		if err := k.store.PutAccount(authority, stored); err != nil {
			return err
		}
	}
	c := k.client(k.cfg.Authorities[at])
	ctx, done := c.beginAttempt(ctx, k.cfg.CallTimeout)
	defer done()
	_, err = k.account(ctx, c, k.cfg.Authorities[at])
	return err
}

// completeKeyChange completes a recorded key change. The response to an earlier request may have been lost, so if the
// authority rejects the change, the account is looked up by the new key.
func (k *Manager) completeKeyChange(ctx context.Context, c *client, authority Authority, stored keystore.Account, a acme.Account) (acme.Account, error) {
	key, err := x509.ParsePKCS8PrivateKey(stored.Next)
	if err != nil {
		return a, fmt.Errorf("%w: %w", errLocal, err)
	}
	next := key.(crypto.Signer)
	changed, err := c.acme.AccountKeyRollover(ctx, a, next)
	var p acme.Problem
	if errors.As(err, &p) {
		withNext := a
		withNext.PrivateKey = next
		if found, ferr := c.acme.GetAccount(ctx, withNext); ferr == nil && found.Location == a.Location {
			changed, err = withNext, nil
		}
	}
	if err != nil {
		return a, fmt.Errorf("change account key: %w", err)
	}
	stored.Key, stored.Next = stored.Next, nil
	if err := k.store.PutAccount(authority.Name, stored); err != nil {
		return a, fmt.Errorf("%w: %w", errLocal, err)
	}
	changed.Location, changed.PrivateKey = a.Location, next
	k.addEvent("account", "the key at "+authority.Name+" was changed")
	return changed, nil
}

// newKey generates an ECDSA P-256 key and returns it in PKCS #8 form.
func newKey() ([]byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	return x509.MarshalPKCS8PrivateKey(key)
}
