// Package appliance puts together what a box of a small site has beside the replica: certificates, the TLS front, and
// the control socket.
package appliance

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/mholt/acmez/v3/acme"
	"github.com/rs/zerolog"

	"cairnlane/internal/assert"
	"cairnlane/internal/certs"
	"cairnlane/internal/clock"
	"cairnlane/internal/config"
	"cairnlane/internal/control"
	"cairnlane/internal/counters"
	"cairnlane/internal/daemon"
	"cairnlane/internal/decide/renewal"
	"cairnlane/internal/faultfs"
	"cairnlane/internal/front"
	"cairnlane/internal/operator"
	"cairnlane/internal/state/keystore"
)

// Box is the appliance. It implements daemon.Part.
type Box struct {
	cfg      *config.Appliance
	log      zerolog.Logger
	store    *keystore.Store
	set      *certs.Set
	tls      *front.TLS
	http     net.Listener
	ctl      *control.Server
	stop     context.CancelFunc
	fleet    *Fleet    // nil when the box is in none
	recorder *recorder // nil: none
}

// Parts are what the daemon is to start, in this order.
func (b *Box) Parts() []daemon.Part {
	parts := []daemon.Part{b}
	if b.recorder != nil {
		parts = append(parts, b.recorder)
	}
	if b.fleet == nil {
		return parts
	}
	return append(append(parts, b.fleet), b.trialParts()...)
}

// Fleet is the box's part in its fleet, nil when it is in none.
func (b *Box) Fleet() *Fleet { return b.fleet }

// New opens what outlives a restart, and fails before anything is served if it cannot be used.
func New(cfg *config.Appliance, log zerolog.Logger) (*Box, error) {
	b := &Box{cfg: cfg, log: log}
	if cfg.Recorder {
		b.recorder = &recorder{cfg: cfg, log: log}
	}
	var err error
	if b.store, err = keystore.Open(faultfs.Disk{}, cfg.State); err != nil {
		return nil, err
	}
	if cfg.Fleet != nil {
		b.fleet = &Fleet{cfg: cfg, log: log}
	}
	if cfg.TLS == nil {
		return b, nil
	}
	answers := certs.NewAnswers()
	var keepers []*certs.Keeper
	for _, c := range cfg.TLS.Certificates {
		k, err := b.keeper(c, answers)
		if err != nil {
			return nil, err
		}
		keepers = append(keepers, k)
	}
	b.set = certs.NewSet(answers, keepers...)
	return b, nil
}

// keeper makes the keeper of one certificate.
func (b *Box) keeper(c config.Certificate, answers *certs.Answers) (*certs.Keeper, error) {
	t := b.cfg.TLS
	cfg := certs.Config{Name: c.Name, Names: c.Hosts, Challenge: t.Challenge, SelfSigned: t.SelfSigned,
		Plan: renewal.Settings{Budget: budget(t), Place: Place(b.cfg.Site.Name, c.Name), Jitter: rand.Float64}}
	for _, mail := range t.Contact {
		cfg.Contact = append(cfg.Contact, "mailto:"+mail)
	}
	for _, a := range t.Authorities {
		au := certs.Authority{Name: a.Name, Directory: a.Directory}
		if a.EAB != nil {
			au.EAB = &acme.EAB{KeyID: a.EAB.KeyID, MACKey: a.EAB.Key}
		}
		if a.Root != "" {
			pem, err := os.ReadFile(a.Root)
			if err != nil {
				return nil, fmt.Errorf("authority %s: %w", a.Name, err)
			}
			pool := x509.NewCertPool()
			if !pool.AppendCertsFromPEM(pem) {
				return nil, fmt.Errorf("authority %s: %s holds no certificate in PEM form", a.Name, a.Root)
			}
			tr := http.DefaultTransport.(*http.Transport).Clone()
			tr.TLSClientConfig = &tls.Config{RootCAs: pool}
			au.HTTP = tr
			if cfg.Roots == nil {
				if cfg.Roots, err = x509.SystemCertPool(); err != nil {
					cfg.Roots = x509.NewCertPool()
				}
			}
			cfg.Roots.AppendCertsFromPEM(pem)
		}
		cfg.Authorities = append(cfg.Authorities, au)
	}
	return certs.New(cfg, b.store, answers, clock.Wall, b.log)
}

func budget(t *config.TLS) renewal.Budget {
	d := renewal.DefaultBudget
	if t.PerHour > 0 {
		d.Hour = t.PerHour
	}
	if t.PerWeek > 0 {
		d.Week = t.PerWeek
	}
	d.Week = max(d.Week, d.Hour)
	return d
}

// Place is a box's own place in a renewal window: the same after each restart, and even over a fleet.
func Place(box, certificate string) float64 {
	return float64(xxhash.Sum64String(box+"\x00"+certificate)>>11) / (1 << 53)
}

// Start implements daemon.Part.
func (b *Box) Start(ctx context.Context, server *front.Server, set *counters.Set) error {
	ctx, b.stop = context.WithCancel(ctx)
	if b.set == nil {
		return nil
	}
	var err error
	if b.cfg.TLS.HTTPListen != "" {
		if b.http, err = net.Listen("tcp", b.cfg.TLS.HTTPListen); err != nil {
			return fmt.Errorf("listen for challenges: %w", err)
		}
		hs := &http.Server{Handler: b.set.Answers, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, MaxHeaderBytes: 8 << 10}
		go hs.Serve(b.http)
	}
	if b.tls, err = server.ListenTLS(b.cfg.TLS.Listen, b.tlsConfig(), set); err != nil {
		return err
	}
	go b.tls.Serve()
	b.log.Info().Str("listen", b.tls.Addr()).Msg("TLS is served")
	for _, k := range b.set.Keepers() {
		go k.Run(ctx)
	}
	return nil
}

// tlsConfig is one for the life of the process, so that tickets outlive a change of certificates. The protocol of the
// challenge is offered to those alone who ask for nothing else: to others it would be a protocol that they do not know.
func (b *Box) tlsConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: b.set.GetCertificate}
	challenge := base.Clone()
	challenge.NextProtos = []string{"acme-tls/1"}
	base.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		if len(h.SupportedProtos) == 1 && h.SupportedProtos[0] == "acme-tls/1" {
			return challenge, nil
		}
		return nil, nil
	}
	return base
}

// Started opens the control socket, once clients are taken.
func (b *Box) Started(r *daemon.Replica) {
	if b.recorder != nil {
		b.recorder.serves(r)
	}
	if b.fleet != nil {
		b.fleet.mu.Lock()
		b.fleet.replica = r
		b.fleet.mu.Unlock()
		r.Pace(b.fleet.pacer, b.fleet.pacer.Reconnect)
	}
	var err error
	if b.ctl, err = control.Listen(b.cfg.Control, &state{box: b, replica: r, since: clock.Wall()}); err != nil {
		b.log.Error().Err(err).Msg("no control socket; cairnctl cannot reach this daemon")
		return
	}
	b.log.Info().Str("socket", b.cfg.Control).Msg("cairnctl may ask")
}

// Leave implements daemon.Part. Certificates are kept until the end: handshakes of routers that come back for what
// they are owed must not fail.
func (b *Box) Leave() {
	if b.tls != nil {
		b.tls.Close()
	}
}

// Close implements daemon.Part.
func (b *Box) Close() {
	if b.stop != nil {
		b.stop()
	}
	if b.http != nil {
		b.http.Close()
	}
	if b.ctl != nil {
		b.ctl.Close()
	}
	b.store.Close()
}

// state is what the control socket shows and does.
type state struct {
	box     *Box
	replica *daemon.Replica
	since   time.Time
}

// Status implements control.Daemon.
func (s *state) Status() control.Status {
	values := s.replica.Counters.Values()
	values["invariants_broken"] = assert.Failures()
	out := control.Status{Name: s.replica.Name, Listen: s.replica.Addr, Since: s.since, Draining: s.replica.Leaving(), Counters: values}
	if s.box.tls != nil {
		out.TLS = s.box.tls.Addr()
	}
	return out
}

// Stop implements control.Daemon.
func (s *state) Stop() { s.replica.Drain() }

// Operator implements control.Daemon.
func (s *state) Operator() operator.Replica {
	if s.box.fleet != nil {
		return keeper{s.replica.Operator(), s.box.fleet}
	}
	return s.replica.Operator()
}

// Fleet implements control.Daemon.
func (s *state) Fleet() control.Fleet {
	if s.box.fleet == nil {
		return nil
	}
	return s.box.fleet
}

// Certificates implements control.Daemon.
func (s *state) Certificates() (list []certs.Status) {
	if s.box.set == nil {
		return nil
	}
	for _, k := range s.box.set.Keepers() {
		list = append(list, k.Status())
	}
	return list
}

var errUnknown = errors.New("no certificate of that name is configured")

func (s *state) find(name string) (*certs.Keeper, error) {
	if s.box.set != nil {
		if k := s.box.set.Find(name); k != nil {
			return k, nil
		}
	}
	return nil, fmt.Errorf("%w: %q", errUnknown, name)
}

// History implements control.Daemon.
func (s *state) History(name string) ([]keystore.Event, error) {
	k, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return k.History(), nil
}

// Renew implements control.Daemon.
func (s *state) Renew(name string) error {
	k, err := s.find(name)
	if err == nil {
		k.Renew()
	}
	return err
}

// Revoke implements control.Daemon.
func (s *state) Revoke(ctx context.Context, name string, reason int) error {
	k, err := s.find(name)
	if err != nil {
		return err
	}
	return k.Revoke(ctx, reason)
}
