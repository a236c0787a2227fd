// Package appliance assembles what a box of a small site runs beside the replica: certificates, the TLS listener, the
// control socket, the flight recorder and the box's membership in its fleet.
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

// Box is the appliance: certificates, TLS listener and control socket. It implements daemon.Component.
type Box struct {
	cfg               *config.Appliance
	log               zerolog.Logger
	store             *keystore.Store
	certificates      *certs.CertificateSet
	tlsListener       *front.TLS
	challengeListener net.Listener
	controlServer     *control.Server
	cancel            context.CancelFunc
	fleet             *Fleet    // nil if the box belongs to no fleet
	recorder          *recorder // nil if the configuration does not enable it
}

// Parts returns the components that the daemon starts, in this order.
func (b *Box) Parts() []daemon.Component {
	parts := []daemon.Component{b}
	if b.recorder != nil {
		parts = append(parts, b.recorder)
	}
	if b.fleet == nil {
		return parts
	}
	return append(append(parts, b.fleet), b.trialParts()...)
}

// Fleet returns the box's fleet component, nil if it belongs to none.
func (b *Box) Fleet() *Fleet { return b.fleet }

// New opens the stored state of the box. It fails before anything is served if the state cannot be used.
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
	responses := certs.NewChallengeResponses()
	var managers []*certs.Manager
	for _, c := range cfg.TLS.Certificates {
		k, err := b.newManager(c, responses)
		if err != nil {
			return nil, err
		}
		managers = append(managers, k)
	}
	b.certificates = certs.NewCertificateSet(responses, managers...)
	return b, nil
}

// newManager returns the manager of one configured certificate.
func (b *Box) newManager(c config.Certificate, responses *certs.ChallengeResponses) (*certs.Manager, error) {
	t := b.cfg.TLS
	cfg := certs.Config{Name: c.Name, Names: c.Hosts, Challenge: t.Challenge, SelfSigned: t.SelfSigned,
		Plan: renewal.Settings{Budget: orderBudget(t), WindowOffset: RenewalOffset(b.cfg.Site.Name, c.Name), Jitter: rand.Float64}}
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
	return certs.New(cfg, b.store, responses, clock.Wall, b.log)
}

// orderBudget returns the configured order budget, with the defaults for limits that are not configured.
func orderBudget(t *config.TLS) renewal.Budget {
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

// RenewalOffset returns a box's offset in a renewal window, in [0, 1). It is the same after each restart and evenly
// distributed over the boxes of a fleet.
func RenewalOffset(box, certificate string) float64 {
	return float64(xxhash.Sum64String(box+"\x00"+certificate)>>11) / (1 << 53)
}

// Start implements daemon.Component.
func (b *Box) Start(ctx context.Context, server *front.Server, set *counters.Set) error {
	ctx, b.cancel = context.WithCancel(ctx)
	if b.certificates == nil {
		return nil
	}
	var err error
	if b.cfg.TLS.HTTPListen != "" {
		if b.challengeListener, err = net.Listen("tcp", b.cfg.TLS.HTTPListen); err != nil {
			return fmt.Errorf("listen for http-01 challenges at %s: %w", b.cfg.TLS.HTTPListen, err)
		}
		hs := &http.Server{Handler: b.certificates.Responses, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, MaxHeaderBytes: 8 << 10}
		go hs.Serve(b.challengeListener)
	}
	if b.tlsListener, err = server.ListenTLS(b.cfg.TLS.Listen, b.tlsConfig(), set); err != nil {
		return err
	}
	go b.tlsListener.Serve()
	b.log.Info().Str("listen", b.tlsListener.Addr()).Msg("TLS listener started")
	for _, k := range b.certificates.Managers() {
		go k.Run(ctx)
	}
	return nil
}

// tlsConfig returns the one TLS configuration of the process, so that session tickets survive a renewal. The
// acme-tls/1 protocol is offered only to clients that request nothing else, as other clients do not know it.
func (b *Box) tlsConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: b.certificates.GetCertificate}
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

// Started opens the control socket. The daemon calls it once the replica accepts clients.
func (b *Box) Started(r *daemon.Replica) {
	if b.recorder != nil {
		b.recorder.started(r)
	}
	if b.fleet != nil {
		b.fleet.mu.Lock()
		b.fleet.replica = r
		b.fleet.mu.Unlock()
		r.SetPacing(b.fleet.pacer, b.fleet.pacer.Reconnect)
	}
	var err error
	if b.controlServer, err = control.Listen(b.cfg.Control, &controlHandler{box: b, replica: r, startedAt: clock.Wall()}); err != nil {
		b.log.Error().Err(err).Msg("cannot open the control socket; cairnctl cannot reach this daemon")
		return
	}
	b.log.Info().Str("socket", b.cfg.Control).Msg("control socket opened")
}

// StopIntake implements daemon.Component. Certificates stay loaded during the drain: handshakes of routers that reconnect for
// outstanding answers must not fail.
func (b *Box) StopIntake() {
	if b.tlsListener != nil {
		b.tlsListener.Close()
	}
}

// Close implements daemon.Component.
func (b *Box) Close() {
	if b.cancel != nil {
		b.cancel()
	}
	if b.challengeListener != nil {
		b.challengeListener.Close()
	}
	if b.controlServer != nil {
		b.controlServer.Close()
	}
	b.store.Close()
}

// controlHandler implements control.Daemon for the control socket.
type controlHandler struct {
	box       *Box
	replica   *daemon.Replica
	startedAt time.Time
}

// Status implements control.Daemon.
func (s *controlHandler) Status() control.Status {
	values := s.replica.Counters.Values()
	values["invariants_broken"] = assert.Failures()
	out := control.Status{Name: s.replica.Name, Listen: s.replica.Addr, StartedAt: s.startedAt, Draining: s.replica.Leaving(), Counters: values}
	if s.box.tlsListener != nil {
		out.TLS = s.box.tlsListener.Addr()
	}
	return out
}

// Stop implements control.Daemon.
func (s *controlHandler) Stop() { s.replica.Drain() }

// Operator implements control.Daemon.
func (s *controlHandler) Operator() operator.Replica {
	if s.box.fleet != nil {
		return fleetReplica{s.replica.Operator(), s.box.fleet}
	}
	return s.replica.Operator()
}

// Fleet implements control.Daemon.
func (s *controlHandler) Fleet() control.Fleet {
	if s.box.fleet == nil {
		return nil
	}
	return s.box.fleet
}

// Certificates implements control.Daemon.
func (s *controlHandler) Certificates() (list []certs.Status) {
	if s.box.certificates == nil {
		return nil
	}
	for _, k := range s.box.certificates.Managers() {
		list = append(list, k.Status())
	}
	return list
}

var errUnknown = errors.New("no certificate with this name is configured")

func (s *controlHandler) find(name string) (*certs.Manager, error) {
	if s.box.certificates != nil {
		if k := s.box.certificates.Find(name); k != nil {
			return k, nil
		}
	}
	return nil, fmt.Errorf("%w: %q", errUnknown, name)
}

// History implements control.Daemon.
func (s *controlHandler) History(name string) ([]keystore.Event, error) {
	k, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return k.History(), nil
}

// Renew implements control.Daemon.
func (s *controlHandler) Renew(name string) error {
	k, err := s.find(name)
	if err == nil {
		k.Renew()
	}
	return err
}

// Revoke implements control.Daemon.
func (s *controlHandler) Revoke(ctx context.Context, name string, reason int) error {
	k, err := s.find(name)
	if err != nil {
		return err
	}
	return k.Revoke(ctx, reason)
}
