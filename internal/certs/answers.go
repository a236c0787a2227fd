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

// The challenges that are answered.
const (
	HTTP01    = "http-01"
	TLSALPN01 = "tls-alpn-01"
)

const challengePath = "/.well-known/acme-challenge/"

// Answers holds the answers to challenges that are open, for whoever the authority asks: the HTTP listener for
// http-01, the TLS front for tls-alpn-01.
type Answers struct {
	mu    sync.Mutex
	http  map[string]string           // key authorization by token
	certs map[string]*tls.Certificate // by name, lower case
}

// NewAnswers returns one without answers.
func NewAnswers() *Answers {
	return &Answers{http: map[string]string{}, certs: map[string]*tls.Certificate{}}
}

// present has a challenge answered until it is withdrawn.
func (a *Answers) present(ans keystore.Answer) error {
	if ans.Type == HTTP01 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.http[ans.Token] = ans.Value
		return nil
	}
	cert, err := acmez.TLSALPN01ChallengeCert(acme.Challenge{Type: ans.Type, KeyAuthorization: ans.Value, Identifier: acme.Identifier{Type: "dns", Value: ans.Name}})
	if err != nil {
		return fmt.Errorf("answer to %s: %w", ans.Type, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.certs[strings.ToLower(ans.Name)] = cert
	return nil
}

// withdraw has them answered no more.
func (a *Answers) withdraw(list []keystore.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ans := range list {
		delete(a.http, ans.Token)
		if ans.Type == TLSALPN01 {
			delete(a.certs, strings.ToLower(ans.Name))
		}
	}
}

// ServeHTTP answers http-01, and nothing else.
func (a *Answers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// Set is the certificates of a listener.
type Set struct {
	Answers *Answers
	keepers []*Keeper
}

// NewSet returns the certificates of a listener. The first one is for clients that ask for no name or an unknown one.
func NewSet(answers *Answers, keepers ...*Keeper) *Set {
	return &Set{Answers: answers, keepers: keepers}
}

// Keepers lists them.
func (s *Set) Keepers() []*Keeper { return s.keepers }

// Find gives the keeper of that name, or nil.
func (s *Set) Find(name string) *Keeper {
	for _, k := range s.keepers {
		if k.cfg.Name == name {
			return k
		}
	}
	return nil
}

var errNoCertificate = errors.New("no certificate yet: the first one is still to be obtained, and self_signed is off")

// GetCertificate is for tls.Config. It is called for each handshake and takes no lock that is held over I/O.
func (s *Set) GetCertificate(h *tls.ClientHelloInfo) (*tls.Certificate, error) {
	name := strings.ToLower(strings.TrimSuffix(h.ServerName, "."))
	if len(h.SupportedProtos) == 1 && h.SupportedProtos[0] == acmez.ACMETLS1Protocol {
		s.Answers.mu.Lock()
		defer s.Answers.mu.Unlock()
		if cert := s.Answers.certs[name]; cert != nil {
			return cert, nil
		}
		return nil, fmt.Errorf("no challenge is open for %q", name)
	}
	var first *tls.Certificate
	for _, k := range s.keepers {
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
