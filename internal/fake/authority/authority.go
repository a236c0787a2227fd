// Package authority is a fake of a certificate authority that speaks ACME. It implements RFC 8555 with accounts, external account
// binding, orders, revocation and account key rollover, and ACME renewal information (ARI, RFC 9773). It validates http-01 and
// tls-alpn-01 (RFC 8737) challenges by connecting to the client. It listens on loopback, uses an injected clock and injects faults.
// It is only for tests and trials: its root keys exist in memory alone, and only its test clients trust them.
package authority

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-jose/go-jose/v4"
)

// Op is a kind of call to the authority.
type Op string

// The kinds of calls.
const (
	OpDirectory   Op = "directory"
	OpNonce       Op = "nonce"
	OpAccount     Op = "account"
	OpOrder       Op = "order"
	OpGet         Op = "look" // fetch an order or an authorization
	OpChallenge   Op = "challenge"
	OpFinalize    Op = "finalize"
	OpDownload    Op = "fetch"  // download a certificate
	OpRenewalInfo Op = "window" // renewal information
	OpRevoke      Op = "revoke"
	OpKeyChange   Op = "key-change"
)

// Fault is a fault that is injected into a call or into the validation or issuance that the call starts. The zero value is no fault.
type Fault struct {
	DropRequest  bool          // closes the connection without a response; the call has no effect
	DropResponse bool          // closes the connection without a response after the call has taken effect
	Hang         bool          // sends no response until the client closes the connection; the call has no effect
	Status       int           // HTTP status of an error response
	BadNonce     bool          // rejects the nonce
	RetryAfter   time.Duration // Retry-After of the error response; 0 for none
	Problem      string        // ACME error type of an error response, such as "caa"; the status is Status, or 403 if that is 0

	Delay          time.Duration // delay of the validation or issuance
	FailValidation bool          // makes the validation fail
	RejectReplaces bool          // rejects an order that names a certificate to replace
	Defect         CertDefect    // makes the issued certificate unusable
}

// CertDefect is a defect of an issued certificate for which a client must not use it.
type CertDefect string

// The kinds of defects.
const (
	WrongName   CertDefect = "wrong name"
	Expired     CertDefect = "expired"
	OtherKey    CertDefect = "other key"
	BrokenChain CertDefect = "broken chain"
	InvalidDER  CertDefect = "no certificate"
)

// Config is the configuration of an authority.
type Config struct {
	Name          string
	Now           func() time.Time
	Lifetime      time.Duration                                         // of issued certificates
	Resolve       func(name string, port int) string                    // returns the address for validating a name, in place of DNS
	Fault         func(now time.Time, op Op) Fault                      // returns the fault to inject into a call; nil for no faults
	RenewalWindow func(*x509.Certificate) (from, to time.Time, ok bool) // overrides the suggested renewal window if ok; nil for the default
	EAB           map[string][]byte                                     // MAC keys by key ID; if there are any, new accounts need a binding
	OrdersPerHour int                                                   // limit on orders of an account in an hour; 0 for none
	CertsPerWeek  int                                                   // limit on certificates for the same set of names in a week; 0 for none
}

// Authority is a running fake authority.
type Authority struct {
	cfg       Config
	ln        net.Listener
	server    *http.Server
	base      string
	root      *x509.Certificate
	altRoot   *x509.Certificate // root of the alternate chain
	issuer    *x509.Certificate
	altIssuer *x509.Certificate // issuer, signed by altRoot
	issuerKey *ecdsa.PrivateKey // key of issuer and altIssuer
	roots     *x509.CertPool

	mu            sync.Mutex
	serial        int64
	nonces        map[string]bool
	accounts      map[string]*account // by URL
	accountsByKey map[string]*account // by key thumbprint
	orders        map[string]*order
	authzs        map[string]*authz
	issued        map[string]*issuedCert // by ARI certificate identifier
	calls         []call
	callsByOp     map[Op]int
}

// call is a received call.
type call struct {
	at time.Time
	op Op
}

// account is an ACME account.
type account struct {
	url     string
	key     jose.JSONWebKey
	contact []string
	status  string
	orders  []time.Time // times of new orders within the last hour
}

// order is an order for a certificate.
type order struct {
	url      string
	account  *account
	names    []string // DNS names
	authzs   []*authz
	status   string
	problem  *problem
	replaces string    // ARI identifier of the certificate to replace; empty for none
	chains   [][]byte  // the default and the alternate chain, as PEM
	issueAt  time.Time // when the certificate is issued, once the order is processing
	csr      *x509.CertificateRequest
	defect   CertDefect
	expires  time.Time
}

// authz is the authorization of a name within an order.
type authz struct {
	url, name, status string
	token             string
	challengeType     string // type of the challenge that the client chose; empty until then
	order             *order
	account           *account
	validateAt        time.Time // when the validation is carried out
	forceInvalid      bool      // injected fault: the validation fails
	problem           *problem
}

// issuedCert is an issued certificate.
type issuedCert struct {
	cert     *x509.Certificate
	account  *account
	replaced bool
	revoked  bool
	nameKey  string // see nameKey
}

// problem is an ACME error document (RFC 8555, section 6.7).
type problem struct {
	Type       string        `json:"type"`
	Detail     string        `json:"detail"`
	Status     int           `json:"status"`
	retryAfter time.Duration // Retry-After of the response; 0 for none
}

// Error implements error.
func (p *problem) Error() string { return p.Type + ": " + p.Detail }

// newProblem returns an error response with the given ACME error type.
func newProblem(status int, problemType, format string, args ...any) *problem {
	return &problem{Type: "urn:ietf:params:acme:error:" + problemType, Detail: fmt.Sprintf(format, args...), Status: status}
}

// Statuses of accounts, orders, authorizations and challenges.
const (
	processing = "processing"
	pending    = "pending"
	ready      = "ready"
	valid      = "valid"
	invalid    = "invalid"
	revoked    = "revoked"
)

// Start starts an authority on a loopback port of its own.
func Start(cfg Config) (*Authority, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	a := &Authority{cfg: cfg, ln: ln, base: "https://" + ln.Addr().String(), nonces: map[string]bool{}, accounts: map[string]*account{},
		accountsByKey: map[string]*account{}, orders: map[string]*order{}, authzs: map[string]*authz{}, issued: map[string]*issuedCert{}, callsByOp: map[Op]int{}}
	serverCert, err := a.makeKeys()
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("authority: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/directory", a.handlePlain(OpDirectory, a.directory))
	mux.HandleFunc("/nonce", a.handlePlain(OpNonce, func(w http.ResponseWriter, r *http.Request) error {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNoContent)
		}
		return nil
	}))
	mux.HandleFunc("/window/{id}", a.handlePlain(OpRenewalInfo, a.renewalInfo))
	for path, handler := range map[string]struct {
		op     Op
		handle func(*http.Request, *signedRequest) (response, error)
	}{"/account": {OpAccount, a.newAccount}, "/account/{id}": {OpAccount, a.updateAccount}, "/order": {OpOrder, a.newOrder}, "/order/{id}": {OpGet, a.getOrder},
		"/authz/{id}": {OpGet, a.getAuthz}, "/challenge/{id}/{kind}": {OpChallenge, a.startChallenge}, "/finalize/{id}": {OpFinalize, a.finalize},
		"/cert/{id}/{chain}": {OpDownload, a.downloadCert}, "/revoke": {OpRevoke, a.revoke}, "/key": {OpKeyChange, a.changeKey}} {
		mux.HandleFunc("POST "+path, a.handleSigned(handler.op, handler.handle))
	}
	a.server = &http.Server{Handler: mux, TLSConfig: &tls.Config{Certificates: []tls.Certificate{serverCert}}, ErrorLog: discardLog()}
	go a.server.ServeTLS(ln, "", "")
	return a, nil
}

// URL returns the URL of the directory.
func (a *Authority) URL() string { return a.base + "/directory" }

// Roots returns the certificate pool for verifying the authority's own TLS certificate and issued certificates.
func (a *Authority) Roots() *x509.CertPool { return a.roots }

// RootCertificates returns the root certificates of the default chain and of the alternate chain, in this order.
func (a *Authority) RootCertificates() []*x509.Certificate {
	return []*x509.Certificate{a.root, a.altRoot}
}

// AltRoots returns a certificate pool that trusts only the alternate chain.
func (a *Authority) AltRoots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.altRoot)
	return pool
}

// Close closes the listener and all connections.
func (a *Authority) Close() error { return a.server.Close() }

// CallCount returns the number of calls received of the given kind, or of all kinds if op is empty.
func (a *Authority) CallCount(op Op) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if op == "" {
		return len(a.calls)
	}
	return a.callsByOp[op]
}

// MaxCallsPerHour returns the highest number of calls within any 60 minutes.
func (a *Authority) MaxCallsPerHour() (most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for from, to := 0, 0; to < len(a.calls); to++ {
		for a.calls[to].at.Sub(a.calls[from].at) >= time.Hour {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// IssuedCount returns the number of issued certificates, those with a defect included.
func (a *Authority) IssuedCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.issued)
}

// makeKeys creates the two roots, the issuer under both, and the TLS certificate of the authority's own listener, which it returns.
func (a *Authority) makeKeys() (tls.Certificate, error) {
	template := func(name string, ca bool) *x509.Certificate {
		a.serial++
		return &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: a.cfg.Name + " " + name}, NotBefore: time.Unix(0, 0),
			NotAfter: time.Unix(1<<33, 0), IsCA: ca, BasicConstraintsValid: ca, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	}
	var keys [4]*ecdsa.PrivateKey
	for i := range keys {
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return tls.Certificate{}, err
		}
		keys[i] = k
	}
	sign := func(t, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (*x509.Certificate, error) {
		if t.IsCA {
			t.IPAddresses, t.ExtKeyUsage = nil, nil
		}
		der, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), parentKey)
		if err != nil {
			return nil, err
		}
		return x509.ParseCertificate(der)
	}
	var errs [5]error
	t := template("root", true)
	a.root, errs[0] = sign(t, t, keys[0], keys[0])
	t = template("other root", true)
	a.altRoot, errs[1] = sign(t, t, keys[1], keys[1])
	if err := errors.Join(errs[:]...); err != nil {
		return tls.Certificate{}, err
	}
	t = template("issuer", true)
	a.issuer, errs[2] = sign(t, a.root, keys[2], keys[0])
	a.altIssuer, errs[3] = sign(t, a.altRoot, keys[2], keys[1])
	server, err := sign(template("listener", false), a.root, keys[3], keys[0])
	if err := errors.Join(append(errs[:], err)...); err != nil {
		return tls.Certificate{}, err
	}
	a.issuerKey, a.roots = keys[2], x509.NewCertPool()
	a.roots.AddCert(a.root)
	return tls.Certificate{Certificate: [][]byte{server.Raw}, PrivateKey: keys[3]}, nil
}

// countCall records a call and returns the fault to inject into it.
func (a *Authority) countCall(op Op) Fault {
	now := a.cfg.Now()
	a.mu.Lock()
	a.calls = append(a.calls, call{now, op})
	a.callsByOp[op]++
	a.mu.Unlock()
	if a.cfg.Fault == nil {
		return Fault{}
	}
	return a.cfg.Fault(now, op)
}

// injectFault injects a fault that happens before the call has an effect. It returns true if the call has been answered with an
// error.
func injectFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch {
	case f.Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.DropRequest:
		panic(http.ErrAbortHandler)
	case f.Status != 0 || f.Problem != "":
		problemType, status := f.Problem, f.Status
		if problemType == "" {
			problemType = "serverInternal"
		}
		if status == 0 {
			status = http.StatusForbidden
		}
		p := newProblem(status, problemType, "injected fault")
		p.retryAfter = f.RetryAfter
		writeProblem(w, p)
		return true
	}
	return false
}

// writeProblem writes p as an error response.
func writeProblem(w http.ResponseWriter, p *problem) {
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(p.retryAfter/time.Second)))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// handlePlain returns a handler for calls that need no signature.
func (a *Authority) handlePlain(op Op, handle func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := a.countCall(op)
		w.Header().Set("Replay-Nonce", a.newNonce())
		w.Header().Set("Cache-Control", "no-store")
		if injectFault(w, r, fault) {
			return
		}
		err := handle(w, r)
		var p *problem
		if errors.As(err, &p) {
			writeProblem(w, p)
		}
	}
}

// newNonce creates a nonce that is valid for one call.
func (a *Authority) newNonce() string {
	var b [16]byte
	rand.Read(b[:])
	nonce := base64.RawURLEncoding.EncodeToString(b[:])
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nonces[nonce] = true
	return nonce
}

func (a *Authority) directory(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(map[string]any{"newNonce": a.base + "/nonce", "newAccount": a.base + "/account", "newOrder": a.base + "/order",
		"revokeCert": a.base + "/revoke", "keyChange": a.base + "/key", "renewalInfo": a.base + "/window",
		"meta": map[string]any{"externalAccountRequired": len(a.cfg.EAB) > 0}})
}

// ariID returns the ARI identifier of a certificate (RFC 9773, section 4.1).
func ariID(cert *x509.Certificate) string {
	der, err := asn1.Marshal(cert.SerialNumber)
	if err != nil || len(der) < 3 {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(cert.AuthorityKeyId) + "." + base64.RawURLEncoding.EncodeToString(der[2:])
}

// renewalInfo answers with the suggested renewal window of a certificate. By default it begins when a third of the lifetime is left.
func (a *Authority) renewalInfo(w http.ResponseWriter, r *http.Request) error {
	a.mu.Lock()
	issued := a.issued[r.PathValue("id")]
	a.mu.Unlock()
	if issued == nil {
		return newProblem(http.StatusNotFound, "malformed", "no such certificate")
	}
	lifetime := issued.cert.NotAfter.Sub(issued.cert.NotBefore)
	from := issued.cert.NotAfter.Add(-lifetime / 3)
	to := from.Add(lifetime / 48)
	if a.cfg.RenewalWindow != nil {
		if f, t, ok := a.cfg.RenewalWindow(issued.cert); ok {
			from, to = f, t
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "21600")
	return json.NewEncoder(w).Encode(map[string]any{"suggestedWindow": map[string]any{"start": from.UTC().Format(time.RFC3339), "end": to.UTC().Format(time.RFC3339)}})
}

// algorithms are the accepted signature algorithms (RFC 8555, section 6.2).
var algorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.RS256, jose.EdDSA}

// nameKey returns the DNS names in lower case, sorted and without duplicates, as one string for comparison.
func nameKey(names []string) string {
	sorted := slices.Clone(names)
	for i := range sorted {
		sorted[i] = strings.ToLower(sorted[i])
	}
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), ",")
}

// thumbprint returns the key's SHA-256 JWK thumbprint (RFC 7638) in base64url.
func thumbprint(key jose.JSONWebKey) (string, error) {
	sum, err := key.Thumbprint(crypto.SHA256)
	return base64.RawURLEncoding.EncodeToString(sum), err
}

// pemChain encodes DER certificates as PEM.
func pemChain(certs ...[]byte) (out []byte) {
	for _, der := range certs {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})...)
	}
	return out
}
