package certs

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/mholt/acmez/v3"
	"github.com/mholt/acmez/v3/acme"

	"cairnlane/internal/state/keystore"
)

// The supported challenge types of RFC 8555 and RFC 8737.
const (
	HTTP01    = "http-01"
	TLSALPN01 = "tls-alpn-01"
)

const challengePath = "/.well-known/acme-challenge/"

// ChallengeResponses holds the responses to pending challenges. The HTTP listener serves those to http-01, the TLS listener
// those to tls-alpn-01.
type ChallengeResponses struct {
	mu    sync.Mutex
	http  map[string]string           // key authorization by token
	certs map[string]*tls.Certificate // by host name in lower case
}

// NewChallengeResponses returns an empty ChallengeResponses.
func NewChallengeResponses() *ChallengeResponses {
	return &ChallengeResponses{http: map[string]string{}, certs: map[string]*tls.Certificate{}}
}

// add serves the response to a challenge until it is removed.
func (a *ChallengeResponses) add(answer keystore.ChallengeResponse) error {
	if answer.Type == HTTP01 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.http[answer.Token] = answer.Value
		return nil
	}
	cert, err := acmez.TLSALPN01ChallengeCert(acme.Challenge{Type: answer.Type, KeyAuthorization: answer.Value, Identifier: acme.Identifier{Type: "dns", Value: answer.Name}})
	if err != nil {
		return fmt.Errorf("make the response to the %s challenge: %w", answer.Type, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.certs[strings.ToLower(answer.Name)] = cert
	return nil
}

// remove stops serving the given challenge responses.
func (a *ChallengeResponses) remove(list []keystore.ChallengeResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, answer := range list {
		delete(a.http, answer.Token)
		if answer.Type == TLSALPN01 {
			delete(a.certs, strings.ToLower(answer.Name))
		}
	}
}

// ServeHTTP serves the responses to http-01 challenges and 404 for everything else.
func (a *ChallengeResponses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, ok := strings.CutPrefix(r.URL.Path, challengePath)
	a.mu.Lock()
	auth, known := a.http[token]
	a.mu.Unlock()
	if !ok || !known || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write([]byte(auth))
}

// CertificateSet selects the certificate for each handshake of a listener.
type CertificateSet struct {
	Responses *ChallengeResponses
	managers  []*Manager
}

// NewCertificateSet returns a set of the managers' certificates. Clients that send no server name or an unknown one get
// the first certificate.
func NewCertificateSet(responses *ChallengeResponses, managers ...*Manager) *CertificateSet {
	return &CertificateSet{Responses: responses, managers: managers}
}

// Managers returns the managers of the set.
func (s *CertificateSet) Managers() []*Manager { return s.managers }

// Find returns the manager of the certificate with that name, or nil.
func (s *CertificateSet) Find(name string) *Manager {
	for _, k := range s.managers {
		if k.cfg.Name == name {
			return k
		}
	}
	return nil
}

var errNoCertificate = errors.New("no certificate available: the first order has not completed, and self_signed is off")

// GetCertificate implements the callback of tls.Config. It is called for each handshake and takes no lock that is
// held during I/O.
func (s *CertificateSet) GetCertificate(h *tls.ClientHelloInfo) (*tls.Certificate, error) {
	name := strings.ToLower(strings.TrimSuffix(h.ServerName, "."))
	if len(h.SupportedProtos) == 1 && h.SupportedProtos[0] == acmez.ACMETLS1Protocol {
		s.Responses.mu.Lock()
		defer s.Responses.mu.Unlock()
		if cert := s.Responses.certs[name]; cert != nil {
			return cert, nil
		}
		return nil, fmt.Errorf("no pending tls-alpn-01 challenge for %q", name)
	}
	var first *tls.Certificate
	for _, k := range s.managers {
		cert := k.Current()
		if cert == nil {
			continue
		}
		if first == nil {
			first = cert
		}
		if name != "" && cert.Leaf.VerifyHostname(name) == nil {
			return cert, nil
		}
	}
	if first == nil {
		return nil, errNoCertificate
	}
	return first, nil
}
