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

// obtain begins an order or goes on with the one that is recorded, and tells the plan how it went.
func (k *Keeper) obtain(ctx context.Context, a renewal.Action) {
	au := k.cfg.Authorities[a.Authority]
	k.mu.Lock()
	o := k.order
	failures := k.plan.Failures()
	done := bytes.Equal(o.Key, k.key) // what it led to is in use; the end alone was not recorded
	k.mu.Unlock()
	resumed := o.Stage != keystore.Ended && o.Authority == au.Name && len(o.Key) > 0 && !done && slices.Equal(o.Names, k.cfg.Names)
	var err error
	if !resumed {
		o, err = k.begin(o, au, a)
	}
	k.mu.Lock()
	k.plan.Begun(k.now(), a.Authority, resumed)
	k.mu.Unlock()
	c := k.client(au)
	if err == nil {
		ctx, done := c.call(ctx, k.cfg.CallTime+k.cfg.PollTime)
		err = k.carry(ctx, c, au, o)
		done()
	}
	if err == nil {
		return
	}
	if ctx.Err() != nil { // the program ends; the order goes on at the next start
		k.mu.Lock()
		k.plan.Failed(k.now(), renewal.Answer{Class: renewal.Transient})
		k.mu.Unlock()
		return
	}
	t := c.trouble(err, failures)
	answer := renewal.Classify(t)
	k.note("failed", fmt.Sprintf("at %s, %v: %v", au.Name, answer.Class, err))
	k.mu.Lock()
	k.plan.Failed(k.now(), answer)
	alarm, next := k.plan.Alarm(k.now()), k.plan.Next(k.now())
	k.mu.Unlock()
	ev := k.log.Warn()
	if alarm >= renewal.Warning {
		ev = k.log.Error()
	}
	ev.Err(err).Str("authority", au.Name).Stringer("class", answer.Class).Stringer("alarm", alarm).Time("next", next.At).
		Msg("no certificate this time; the one in use stays")
}

// begin records a new order with its key before anything is asked for.
func (k *Keeper) begin(was keystore.Order, au Authority, a renewal.Action) (keystore.Order, error) {
	key, err := newKey()
	if err != nil {
		return was, fmt.Errorf("%w: %w", errLocal, err)
	}
	now := k.now()
	k.answers.withdraw(was.Answers)
	o := keystore.Order{Stage: keystore.Keyed, Authority: au.Name, Key: key, Begun: now, Names: k.cfg.Names,
		History: slices.DeleteFunc(slices.Clone(was.History), func(h keystore.Attempt) bool { return now.Sub(h.Begun) > 7*24*time.Hour })}
	o.History = append(o.History, keystore.Attempt{Authority: au.Name, Begun: now})
	if cert := k.Current(); a.Replaces && cert != nil {
		if id, err := acme.ARIUniqueIdentifier(cert.Leaf); err == nil {
			o.Replaces = id
		}
	}
	return o, k.record(&o)
}

// record stores how far an order has come. The events are those of the keeper.
func (k *Keeper) record(o *keystore.Order) error {
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

// drop ends an order that leads nowhere, so that the next attempt begins a new one.
func (k *Keeper) drop(o *keystore.Order) error {
	k.answers.withdraw(o.Answers)
	o.Stage, o.Key, o.URL, o.Answers = keystore.Ended, nil, "", nil
	return k.record(o)
}

// carry takes an order from where it stands to a certificate in use. Each step is recorded before it is taken, so a
// kill between any two goes on with the same order.
func (k *Keeper) carry(ctx context.Context, c *client, au Authority, o keystore.Order) error {
	account, err := k.account(ctx, c, au)
	if err != nil {
		return fmt.Errorf("account: %w", err)
	}
	order, err := k.ordered(ctx, c, account, &o)
	if err != nil {
		return err
	}
	if order.Status == acme.StatusPending {
		if err := k.prove(ctx, c, account, order, &o); err != nil {
			if errors.Is(err, errInvalid) {
				err = errors.Join(err, k.drop(&o))
			}
			return err
		}
		if order, err = c.acme.GetOrder(ctx, account, acme.Order{Location: o.URL}); err != nil {
			return fmt.Errorf("look at the order: %w", err)
		}
	}
	key, err := x509.ParsePKCS8PrivateKey(o.Key)
	if err != nil {
		return errors.Join(fmt.Errorf("%w: the order's key: %w", errLocal, err), k.drop(&o))
	}
	signer := key.(crypto.Signer)
	if order.Status == acme.StatusReady {
		if o.Stage != keystore.Finalizing {
			o.Stage = keystore.Finalizing
			if err := k.record(&o); err != nil {
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
		return fmt.Errorf("the order is still %s; it is looked at again", order.Status)
	default:
		why := fmt.Errorf("%w: the order is %s", errInvalid, order.Status)
		if order.Error != nil {
			why = fmt.Errorf("%w: %w", why, *order.Error)
		}
		return errors.Join(why, k.drop(&o))
	}
	return k.fetch(ctx, c, account, au, order, &o, signer)
}

// ordered gives the order at the authority, which is asked for if its name is not known yet.
func (k *Keeper) ordered(ctx context.Context, c *client, account acme.Account, o *keystore.Order) (acme.Order, error) {
	if o.URL != "" {
		order, err := c.acme.GetOrder(ctx, account, acme.Order{Location: o.URL})
		var p acme.Problem
		if errors.As(err, &p) && (p.Status == 404 || p.Status == 403) { // it is gone
			err = errors.Join(err, k.drop(o))
		}
		if err != nil {
			return order, fmt.Errorf("look at the order: %w", err)
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
		// What it replaces is a courtesy, RFC 9773 section 5; the certificate is not to fail for it.
		k.log.Info().Err(err).Msg("the authority does not take what the order replaces; asked again without")
		o.Replaces, want.Replaces = "", ""
		order, err = c.acme.NewOrder(ctx, account, want)
	}
	if err != nil {
		return order, fmt.Errorf("new order: %w", err)
	}
	o.Stage, o.URL = keystore.Ordered, order.Location
	return order, k.record(o)
}

// prove answers the challenges of an order until all names are validated.
func (k *Keeper) prove(ctx context.Context, c *client, account acme.Account, order acme.Order, o *keystore.Order) error {
	for _, u := range order.Authorizations {
		z, err := c.acme.GetAuthorization(ctx, account, u)
		if err != nil {
			return fmt.Errorf("authorization: %w", err)
		}
		if z.Status == acme.StatusValid {
			continue
		}
		i := slices.IndexFunc(z.Challenges, func(ch acme.Challenge) bool { return ch.Type == k.cfg.Challenge })
		if i < 0 {
			return fmt.Errorf("%w: %s is not offered for %s", errInvalid, k.cfg.Challenge, z.Identifier.Value)
		}
		ch := z.Challenges[i]
		ans := keystore.Answer{Type: ch.Type, Name: z.Identifier.Value, Token: ch.Token, Value: ch.KeyAuthorization}
		if !slices.Contains(o.Answers, ans) { // it is answered until the order has ended, over restarts too
			o.Answers = append(o.Answers, ans)
			if err := k.record(o); err != nil {
				return err
			}
		}
		if err := k.answers.present(ans); err != nil {
			return fmt.Errorf("%w: %w", errLocal, err)
		}
		if ch.Status == acme.StatusPending && z.Status == acme.StatusPending {
			if _, err := c.acme.InitiateChallenge(ctx, account, ch); err != nil {
				return fmt.Errorf("challenge: %w", err)
			}
		}
		if z, err = c.acme.PollAuthorization(ctx, account, z); err != nil {
			if z.Status == acme.StatusInvalid || z.Status == "expired" || z.Status == "deactivated" || z.Status == "revoked" {
				return fmt.Errorf("%w: %s: %w", errInvalid, z.Identifier.Value, err)
			}
			return fmt.Errorf("validation of %s: %w", z.Identifier.Value, err)
		}
	}
	return nil
}

// fetch gets what was issued, checks it, stores it, and takes it into use, in this order.
func (k *Keeper) fetch(ctx context.Context, c *client, account acme.Account, au Authority, order acme.Order, o *keystore.Order, key crypto.Signer) error {
	chains, err := c.acme.GetCertificateChain(ctx, account, order.Certificate)
	if err != nil {
		if ctx.Err() == nil && c.answered() {
			return errors.Join(fmt.Errorf("%w: %w", errRubbish, err), k.drop(o))
		}
		return fmt.Errorf("fetch: %w", err)
	}
	var bad error
	for _, chain := range chains {
		der, err := check(chain.ChainPEM, k.cfg.Names, key, k.now(), k.cfg.Roots)
		if err != nil {
			bad = errors.Join(bad, err)
			continue
		}
		g := keystore.Generation{Key: o.Key, Chain: der, Authority: au.Name, Stored: k.now()}
		if err := k.store.PutGeneration(k.cfg.Name, g); err != nil {
			return fmt.Errorf("%w: %w", errLocal, err) // it is fetched again
		}
		k.note("issued", fmt.Sprintf("by %s", au.Name))
		if err := k.load(); err != nil {
			return fmt.Errorf("%w: %w", errLocal, err)
		}
		if err := k.drop(o); err != nil { // found again at a start as valid, and fetched once more: harmless
			k.log.Error().Err(err).Msg("the end of the order is not recorded")
		}
		return nil
	}
	if bad == nil {
		bad = errors.New("no chain")
	}
	return errors.Join(fmt.Errorf("%w: %w", errRubbish, bad), k.drop(o))
}

// answered tells whether the last call had an answer that was no error.
func (c *client) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status == 0
}

// account gives the account at an authority, and makes it if there is none. Its key is stored before it is used.
func (k *Keeper) account(ctx context.Context, c *client, au Authority) (acme.Account, error) {
	kept, err := k.store.Account(au.Name)
	if errors.Is(err, keystore.ErrNone) {
		if kept.Key, err = newKey(); err == nil {
			kept.Contact = k.cfg.Contact
			err = k.store.PutAccount(au.Name, kept)
		}
	}
	if err != nil {
		return acme.Account{}, fmt.Errorf("%w: %w", errLocal, err)
	}
	key, err := x509.ParsePKCS8PrivateKey(kept.Key)
	if err != nil {
		return acme.Account{}, fmt.Errorf("%w: the key of the account at %s: %w", errLocal, au.Name, err)
	}
	a := acme.Account{Contact: k.cfg.Contact, TermsOfServiceAgreed: true, Location: kept.URL, PrivateKey: key.(crypto.Signer)}
	if len(kept.Next) > 0 {
		return k.changeKey(ctx, c, au, kept, a)
	}
	if kept.URL != "" {
		return a, nil
	}
	if au.EAB != nil {
		if err := a.SetExternalAccountBinding(ctx, c.acme, *au.EAB); err != nil {
			return a, err
		}
	}
	made, err := c.acme.NewAccount(ctx, a) // the same one if its key is known
	if err != nil {
		return a, err
	}
	kept.URL, a.Location = made.Location, made.Location
	if err := k.store.PutAccount(au.Name, kept); err != nil {
		return a, fmt.Errorf("%w: %w", errLocal, err)
	}
	return a, nil
}

// ChangeAccountKey gives the account at an authority another key. The new one is stored before the authority is told.
func (k *Keeper) ChangeAccountKey(ctx context.Context, authority string) error {
	k.stepping.Lock()
	defer k.stepping.Unlock()
	at := k.place(authority)
	if at < 0 {
		return fmt.Errorf("certs: no authority %q is configured", authority)
	}
	kept, err := k.store.Account(authority)
	if err != nil {
		return err
	}
	if len(kept.Next) == 0 {
		if kept.Next, err = newKey(); err != nil {
			return err
		}
		if err := k.store.PutAccount(authority, kept); err != nil {
			return err
		}
	}
	c := k.client(k.cfg.Authorities[at])
	ctx, done := c.call(ctx, k.cfg.CallTime)
	defer done()
	_, err = k.account(ctx, c, k.cfg.Authorities[at])
	return err
}

// changeKey carries a change of keys on that is recorded. Its answer may have been lost before, so when the old key
// is not taken any more, the new one is tried.
func (k *Keeper) changeKey(ctx context.Context, c *client, au Authority, kept keystore.Account, a acme.Account) (acme.Account, error) {
	key, err := x509.ParsePKCS8PrivateKey(kept.Next)
	if err != nil {
		return a, fmt.Errorf("%w: %w", errLocal, err)
	}
	next := key.(crypto.Signer)
	changed, err := c.acme.AccountKeyRollover(ctx, a, next)
	var p acme.Problem
	if errors.As(err, &p) {
		with := a
		with.PrivateKey = next
		if found, ferr := c.acme.GetAccount(ctx, with); ferr == nil && found.Location == a.Location {
			changed, err = with, nil
		}
	}
	if err != nil {
		return a, fmt.Errorf("change of keys: %w", err)
	}
	kept.Key, kept.Next = kept.Next, nil
	if err := k.store.PutAccount(au.Name, kept); err != nil {
		return a, fmt.Errorf("%w: %w", errLocal, err)
	}
	changed.Location, changed.PrivateKey = a.Location, next
	k.note("account", "the key at "+au.Name+" was changed")
	return changed, nil
}

// newKey makes a key and encodes it.
func newKey() ([]byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	return x509.MarshalPKCS8PrivateKey(key)
}
