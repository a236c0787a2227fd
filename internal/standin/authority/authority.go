// Package authority is a stand-in for a certificate authority that speaks ACME: RFC 8555 with accounts, external
// account binding, orders, http-01 and tls-alpn-01 (RFC 8737) validated for real, revocation and change of keys, and
// RFC 9773 (ARI). It listens on loopback, runs on an injected clock and plays faults. It is for tests and trials
// alone: its root key lives in memory and nobody trusts it.
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

// Op is a kind of call.
type Op string

// The calls.
const (
	OpDirectory Op = "directory"
	OpNonce     Op = "nonce"
	OpAccount   Op = "account"
	OpOrder     Op = "order"
	OpLook      Op = "look" // at an order, an authorization or a challenge
	OpChallenge Op = "challenge"
	OpFinalize  Op = "finalize"
	OpFetch     Op = "fetch"
	OpWindow    Op = "window"
	OpRevoke    Op = "revoke"
	OpKey       Op = "key-change"
)

// Fault is what goes wrong with a call, or with what it brings about. The zero value is none.
type Fault struct {
	Down       bool          // the connection ends without an answer and without effect
	Lost       bool          // the connection ends without an answer, after the effect
	Slow       bool          // no answer until the caller gives up, without effect
	Status     int           // an error of the server
	BadNonce   bool          // the nonce is turned down
	RetryAfter time.Duration // with Status 429 or 503
	Problem    string        // type of a problem, such as "caa", with Status or 403

	Pending time.Duration // the validation, or the issuing, takes so long
	Invalid bool          // the validation fails
	Replace bool          // an order that names what it replaces is turned down
	Rubbish Rubbish       // what is issued is not what was asked for
}

// Rubbish is a certificate that must not be used.
type Rubbish string

// The kinds of rubbish.
const (
	WrongName   Rubbish = "wrong name"
	AlreadyOver Rubbish = "expired"
	OtherKey    Rubbish = "other key"
	BrokenChain Rubbish = "broken chain"
	NoPEM       Rubbish = "no certificate"
)

// Config is what an authority is told.
type Config struct {
	Name     string
	Now      func() time.Time
	Lifetime time.Duration                                         // of what it issues
	Resolve  func(name string, port int) string                    // where a name is validated, in place of the name service
	Fault    func(now time.Time, op Op) Fault                      // asked on each call; nil for none
	Window   func(*x509.Certificate) (from, to time.Time, ok bool) // another renewal window than the usual one
	EAB      map[string][]byte                                     // MAC keys by key id; accounts need one of them if there are any
	PerHour  int                                                   // orders of one account in an hour; 0 for no limit
	PerName  int                                                   // certificates for one set of names in a week; 0 for no limit
}

// Authority is a running stand-in.
type Authority struct {
	cfg   Config
	ln    net.Listener
	http  *http.Server
	base  string
	root  *x509.Certificate
	other *x509.Certificate // of the alternate chain
	mid   *x509.Certificate
	cross *x509.Certificate // mid, signed by other
	key   *ecdsa.PrivateKey // of mid
	roots *x509.CertPool

	mu       sync.Mutex
	serial   int64
	nonces   map[string]bool
	accounts map[string]*account // by URL
	byKey    map[string]*account // by thumbprint
	orders   map[string]*order
	authzs   map[string]*authz
	issued   map[string]*issued // by ARI's identifier
	calls    []call
	byOp     map[Op]int
}

type call struct {
	at time.Time
	op Op
}

type account struct {
	url     string
	key     jose.JSONWebKey
	contact []string
	status  string
	orders  []time.Time
}

type order struct {
	url      string
	account  *account
	names    []string
	authzs   []*authz
	status   string
	problem  *problem
	replaces string
	chains   [][]byte
	readyAt  time.Time
	csr      *x509.CertificateRequest
	rubbish  Rubbish
	expires  time.Time
}

type authz struct {
	url, name, status string
	token             string
	kind              string // the challenge that was chosen
	order             *order
	account           *account
	readyAt           time.Time
	invalid           bool
	problem           *problem
}

type issued struct {
	cert     *x509.Certificate
	account  *account
	replaced bool
	revoked  bool
	names    string
}

type problem struct {
	Type   string `json:"type"`
	Detail string `json:"detail"`
	Status int    `json:"status"`
	after  time.Duration
}

func (p *problem) Error() string { return p.Type + ": " + p.Detail }

func trouble(status int, kind, format string, args ...any) *problem {
	return &problem{Type: "urn:ietf:params:acme:error:" + kind, Detail: fmt.Sprintf(format, args...), Status: status}
}

const (
	processing = "processing"
	pending    = "pending"
	ready      = "ready"
	valid      = "valid"
	invalid    = "invalid"
	revoked    = "revoked"
)

// Start begins to listen on a loopback address of its own.
func Start(cfg Config) (*Authority, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	a := &Authority{cfg: cfg, ln: ln, base: "https://" + ln.Addr().String(), nonces: map[string]bool{}, accounts: map[string]*account{},
		byKey: map[string]*account{}, orders: map[string]*order{}, authzs: map[string]*authz{}, issued: map[string]*issued{}, byOp: map[Op]int{}}
	own, err := a.keys()
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("authority: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/directory", a.plain(OpDirectory, a.directory))
	mux.HandleFunc("/nonce", a.plain(OpNonce, func(w http.ResponseWriter, r *http.Request) error {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNoContent)
		}
		return nil
	}))
	mux.HandleFunc("/window/{id}", a.plain(OpWindow, a.window))
	for path, h := range map[string]struct {
		op Op
		f  func(*http.Request, *signed) (answer, error)
	}{"/account": {OpAccount, a.newAccount}, "/account/{id}": {OpAccount, a.changeAccount}, "/order": {OpOrder, a.newOrder}, "/order/{id}": {OpLook, a.lookOrder},
		"/authz/{id}": {OpLook, a.lookAuthz}, "/challenge/{id}/{kind}": {OpChallenge, a.challenge}, "/finalize/{id}": {OpFinalize, a.finalize},
		"/cert/{id}/{chain}": {OpFetch, a.fetch}, "/revoke": {OpRevoke, a.revoke}, "/key": {OpKey, a.keyChange}} {
		mux.HandleFunc("POST "+path, a.signed(h.op, h.f))
	}
	a.http = &http.Server{Handler: mux, TLSConfig: &tls.Config{Certificates: []tls.Certificate{own}}, ErrorLog: quiet()}
	go a.http.ServeTLS(ln, "", "")
	return a, nil
}

// URL is that of the directory.
func (a *Authority) URL() string { return a.base + "/directory" }

// Roots are what a client needs to trust, for the connection and for what is issued.
func (a *Authority) Roots() *x509.CertPool { return a.roots }

// Certificates are the roots that what is issued leads to, the alternate chain's last.
func (a *Authority) Certificates() []*x509.Certificate { return []*x509.Certificate{a.root, a.other} }

// OtherRoots are what a client needs that trusts the alternate chain alone.
func (a *Authority) OtherRoots() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.other)
	return p
}

// Close ends it.
func (a *Authority) Close() error { return a.http.Close() }

// Calls tells how many calls of a kind came in; all of them for none.
func (a *Authority) Calls(op Op) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if op == "" {
		return len(a.calls)
	}
	return a.byOp[op]
}

// MostInAnHour tells the most calls in any 60 minutes.
func (a *Authority) MostInAnHour() (most int) {
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

// Issued tells how many certificates were made that are not rubbish.
func (a *Authority) Issued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.issued)
}

// keys makes the root, the issuer and the certificate of the authority's own listener.
func (a *Authority) keys() (tls.Certificate, error) {
	forever := func(name string, ca bool) *x509.Certificate {
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
	sign := func(t, by *x509.Certificate, key, with *ecdsa.PrivateKey) (*x509.Certificate, error) {
		if t.IsCA {
			t.IPAddresses, t.ExtKeyUsage = nil, nil
		}
		der, err := x509.CreateCertificate(rand.Reader, t, by, key.Public(), with)
		if err != nil {
			return nil, err
		}
		return x509.ParseCertificate(der)
	}
	var errs [5]error
	t := forever("root", true)
	a.root, errs[0] = sign(t, t, keys[0], keys[0])
	t = forever("other root", true)
	a.other, errs[1] = sign(t, t, keys[1], keys[1])
	if err := errors.Join(errs[:]...); err != nil {
		return tls.Certificate{}, err
	}
	t = forever("issuer", true)
	a.mid, errs[2] = sign(t, a.root, keys[2], keys[0])
	a.cross, errs[3] = sign(t, a.other, keys[2], keys[1])
	own, err := sign(forever("listener", false), a.root, keys[3], keys[0])
	if err := errors.Join(append(errs[:], err)...); err != nil {
		return tls.Certificate{}, err
	}
	a.key, a.roots = keys[2], x509.NewCertPool()
	a.roots.AddCert(a.root)
	return tls.Certificate{Certificate: [][]byte{own.Raw}, PrivateKey: keys[3]}, nil
}

// fault counts a call and tells what goes wrong with it.
func (a *Authority) fault(op Op) Fault {
	now := a.cfg.Now()
	a.mu.Lock()
	a.calls = append(a.calls, call{now, op})
	a.byOp[op]++
	a.mu.Unlock()
	if a.cfg.Fault == nil {
		return Fault{}
	}
	return a.cfg.Fault(now, op)
}

// before plays what goes wrong before a call has an effect; true means that it is over.
func before(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch {
	case f.Slow:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Down:
		panic(http.ErrAbortHandler)
	case f.Status != 0 || f.Problem != "":
		kind, status := f.Problem, f.Status
		if kind == "" {
			kind = "serverInternal"
		}
		if status == 0 {
			status = http.StatusForbidden
		}
		p := trouble(status, kind, "played by the script")
		p.after = f.RetryAfter
		fail(w, p)
		return true
	}
	return false
}

func fail(w http.ResponseWriter, p *problem) {
	if p.after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(p.after/time.Second)))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p)
}

// plain serves what needs no signature.
func (a *Authority) plain(op Op, f func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := a.fault(op)
		w.Header().Set("Replay-Nonce", a.nonce())
		w.Header().Set("Cache-Control", "no-store")
		if before(w, r, fault) {
			return
		}
		err := f(w, r)
		var p *problem
		if errors.As(err, &p) {
			fail(w, p)
		}
	}
}

func (a *Authority) nonce() string {
	var b [16]byte
	rand.Read(b[:])
	n := base64.RawURLEncoding.EncodeToString(b[:])
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nonces[n] = true
	return n
}

func (a *Authority) directory(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(map[string]any{"newNonce": a.base + "/nonce", "newAccount": a.base + "/account", "newOrder": a.base + "/order",
		"revokeCert": a.base + "/revoke", "keyChange": a.base + "/key", "renewalInfo": a.base + "/window",
		"meta": map[string]any{"externalAccountRequired": len(a.cfg.EAB) > 0}})
}

// identifier is ARI's name of a certificate, RFC 9773 section 4.1.
func identifier(c *x509.Certificate) string {
	der, err := asn1.Marshal(c.SerialNumber)
	if err != nil || len(der) < 3 {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(c.AuthorityKeyId) + "." + base64.RawURLEncoding.EncodeToString(der[2:])
}

func (a *Authority) window(w http.ResponseWriter, r *http.Request) error {
	a.mu.Lock()
	i := a.issued[r.PathValue("id")]
	a.mu.Unlock()
	if i == nil {
		return trouble(http.StatusNotFound, "malformed", "no such certificate")
	}
	life := i.cert.NotAfter.Sub(i.cert.NotBefore)
	from := i.cert.NotAfter.Add(-life / 3)
	to := from.Add(life / 48)
	if a.cfg.Window != nil {
		if f, t, ok := a.cfg.Window(i.cert); ok {
			from, to = f, t
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "21600")
	return json.NewEncoder(w).Encode(map[string]any{"suggestedWindow": map[string]any{"start": from.UTC().Format(time.RFC3339), "end": to.UTC().Format(time.RFC3339)}})
}

// algorithms are those that RFC 8555 section 6.2 asks for.
var algorithms = []jose.SignatureAlgorithm{jose.ES256, jose.ES384, jose.RS256, jose.EdDSA}

// names gives the sorted names of a request, as one word to compare by.
func names(list []string) string {
	l := slices.Clone(list)
	for i := range l {
		l[i] = strings.ToLower(l[i])
	}
	slices.Sort(l)
	return strings.Join(slices.Compact(l), ",")
}

func thumbprint(k jose.JSONWebKey) (string, error) {
	t, err := k.Thumbprint(crypto.SHA256)
	return base64.RawURLEncoding.EncodeToString(t), err
}

func pemChain(certs ...[]byte) (out []byte) {
	for _, der := range certs {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})...)
	}
	return out
}
