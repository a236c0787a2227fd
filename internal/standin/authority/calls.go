package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/big"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
)

// quiet is the log of the HTTP server, which would tell of every fault that is played.
func quiet() *log.Logger { return log.New(io.Discard, "", 0) }

// signed is a call whose signature was checked.
type signed struct {
	payload []byte
	account *account        // nil for a call that brings its key
	key     jose.JSONWebKey // the one that signed
	url     string
	fault   Fault
}

// answer is what a call is told.
type answer struct {
	status   int
	location string
	body     any
	raw      []byte // in place of body
	kind     string
	links    []string
	after    time.Duration
}

// signed serves what needs a signature, RFC 8555 section 6.
func (a *Authority) signed(op Op, f func(*http.Request, *signed) (answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := a.fault(op)
		w.Header().Set("Replay-Nonce", a.nonce())
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("Link", `<`+a.URL()+`>;rel="index"`)
		if before(w, r, fault) {
			return
		}
		s, err := a.check(r, fault)
		var ans answer
		if err == nil {
			ans, err = f(r, s)
		}
		if fault.Lost {
			panic(http.ErrAbortHandler)
		}
		var p *problem
		switch {
		case errors.As(err, &p):
			fail(w, p)
			return
		case err != nil:
			fail(w, trouble(http.StatusInternalServerError, "serverInternal", "%v", err))
			return
		}
		for _, l := range ans.links {
			w.Header().Add("Link", l)
		}
		if ans.location != "" {
			w.Header().Set("Location", ans.location)
		}
		if ans.after > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(int(ans.after/time.Second)))
		}
		if ans.kind == "" {
			ans.kind = "application/json"
		}
		w.Header().Set("Content-Type", ans.kind)
		w.WriteHeader(ans.status)
		if ans.raw != nil {
			w.Write(ans.raw)
		} else if ans.body != nil {
			json.NewEncoder(w).Encode(ans.body)
		}
	}
}

// check verifies a signed call.
func (a *Authority) check(r *http.Request, fault Fault) (*signed, error) {
	if ct := r.Header.Get("Content-Type"); ct != "application/jose+json" {
		return nil, trouble(http.StatusUnsupportedMediaType, "malformed", "content type %q", ct)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return nil, trouble(http.StatusBadRequest, "malformed", "%v", err)
	}
	jws, err := jose.ParseSignedJSON(string(raw), algorithms)
	if err != nil || len(jws.Signatures) != 1 {
		return nil, trouble(http.StatusBadRequest, "malformed", "not signed as it must be: %v", err)
	}
	h := jws.Signatures[0].Protected
	a.mu.Lock()
	fresh := a.nonces[h.Nonce]
	delete(a.nonces, h.Nonce)
	a.mu.Unlock()
	if !fresh || fault.BadNonce {
		return nil, trouble(http.StatusBadRequest, "badNonce", "this nonce is not one of ours, or was used")
	}
	s := &signed{fault: fault}
	s.url, _ = h.ExtraHeaders["url"].(string)
	if s.url != a.base+r.URL.Path {
		return nil, trouble(http.StatusUnauthorized, "unauthorized", "signed for %q", s.url)
	}
	switch {
	case (h.JSONWebKey == nil) == (h.KeyID == ""):
		return nil, trouble(http.StatusBadRequest, "malformed", "one of jwk and kid is needed")
	case h.JSONWebKey != nil:
		if !h.JSONWebKey.Valid() || !h.JSONWebKey.IsPublic() {
			return nil, trouble(http.StatusBadRequest, "badPublicKey", "this is no public key")
		}
		s.key = *h.JSONWebKey
	default:
		a.mu.Lock()
		s.account = a.accounts[h.KeyID]
		a.mu.Unlock()
		if s.account == nil {
			return nil, trouble(http.StatusBadRequest, "accountDoesNotExist", "no account %q", h.KeyID)
		}
		if s.account.status != valid {
			return nil, trouble(http.StatusUnauthorized, "unauthorized", "the account is %s", s.account.status)
		}
		s.key = s.account.key
	}
	if s.payload, err = jws.Verify(s.key); err != nil {
		return nil, trouble(http.StatusUnauthorized, "malformed", "the signature does not fit")
	}
	return s, nil
}

func (s *signed) read(v any) error {
	if err := json.Unmarshal(s.payload, v); err != nil {
		return trouble(http.StatusBadRequest, "malformed", "%v", err)
	}
	return nil
}

// known asks for an account.
func (s *signed) known() error {
	if s.account == nil {
		return trouble(http.StatusUnauthorized, "unauthorized", "this call needs an account")
	}
	return nil
}

func (a *Authority) next(kind string) string {
	a.serial++
	return fmt.Sprintf("%s/%s/%d", a.base, kind, a.serial)
}

func (acc *account) shown() map[string]any {
	return map[string]any{"status": acc.status, "contact": acc.contact, "orders": acc.url + "/orders"}
}

func (a *Authority) newAccount(_ *http.Request, s *signed) (answer, error) {
	if s.account != nil {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "a new account brings its key")
	}
	var q struct {
		Contact []string        `json:"contact"`
		Only    bool            `json:"onlyReturnExisting"`
		EAB     json.RawMessage `json:"externalAccountBinding"`
	}
	if err := s.read(&q); err != nil {
		return answer{}, err
	}
	print, err := thumbprint(s.key)
	if err != nil {
		return answer{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.byKey[print]; acc != nil {
		return answer{status: http.StatusOK, location: acc.url, body: acc.shown()}, nil
	}
	if q.Only {
		return answer{}, trouble(http.StatusBadRequest, "accountDoesNotExist", "no account with this key")
	}
	for _, c := range q.Contact {
		if !strings.HasPrefix(c, "mailto:") {
			return answer{}, trouble(http.StatusBadRequest, "unsupportedContact", "contact %q; mailto: is taken", c)
		}
	}
	if len(a.cfg.EAB) > 0 {
		if err := a.bound(q.EAB, s); err != nil {
			return answer{}, err
		}
	}
	acc := &account{url: a.next("account"), key: s.key, contact: q.Contact, status: valid}
	a.accounts[acc.url], a.byKey[print] = acc, acc
	return answer{status: http.StatusCreated, location: acc.url, body: acc.shown()}, nil
}

// bound checks an external account binding, RFC 8555 section 7.3.4.
func (a *Authority) bound(raw json.RawMessage, s *signed) error {
	if len(raw) == 0 {
		return trouble(http.StatusForbidden, "externalAccountRequired", "an account here needs a binding")
	}
	jws, err := jose.ParseSignedJSON(string(raw), []jose.SignatureAlgorithm{jose.HS256})
	if err != nil || len(jws.Signatures) != 1 {
		return trouble(http.StatusBadRequest, "malformed", "binding: %v", err)
	}
	h := jws.Signatures[0].Protected
	mac, ok := a.cfg.EAB[h.KeyID]
	if !ok {
		return trouble(http.StatusUnauthorized, "unauthorized", "no binding key %q", h.KeyID)
	}
	payload, err := jws.Verify(mac)
	if err != nil || h.ExtraHeaders["url"] != s.url {
		return trouble(http.StatusUnauthorized, "unauthorized", "the binding's signature does not fit")
	}
	var k jose.JSONWebKey
	if err := json.Unmarshal(payload, &k); err != nil {
		return trouble(http.StatusBadRequest, "malformed", "binding: %v", err)
	}
	x, err1 := thumbprint(k)
	y, err2 := thumbprint(s.key)
	if err := errors.Join(err1, err2); err != nil || x != y {
		return trouble(http.StatusUnauthorized, "unauthorized", "the binding is for another key")
	}
	return nil
}

func (a *Authority) changeAccount(_ *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	if s.url != s.account.url {
		return answer{}, trouble(http.StatusUnauthorized, "unauthorized", "this is another's account")
	}
	var q struct {
		Contact []string `json:"contact"`
		Status  string   `json:"status"`
	}
	if len(s.payload) > 0 {
		if err := s.read(&q); err != nil {
			return answer{}, err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Contact != nil {
		s.account.contact = q.Contact
	}
	if q.Status == "deactivated" {
		s.account.status = q.Status
	}
	return answer{status: http.StatusOK, location: s.account.url, body: s.account.shown()}, nil
}

func (a *Authority) newOrder(_ *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	var q struct {
		Identifiers []struct{ Type, Value string } `json:"identifiers"`
		Replaces    string                         `json:"replaces"`
	}
	if err := s.read(&q); err != nil {
		return answer{}, err
	}
	var list []string
	for _, id := range q.Identifiers {
		if id.Type != "dns" || strings.ContainsAny(id.Value, "*/ ") || !strings.Contains(id.Value, ".") {
			return answer{}, trouble(http.StatusBadRequest, "rejectedIdentifier", "%s %q is not issued here", id.Type, id.Value)
		}
		list = append(list, id.Value)
	}
	if len(list) == 0 {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "no identifiers")
	}
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Replaces != "" {
		old := a.issued[q.Replaces]
		switch {
		case s.fault.Replace || old == nil || old.account != s.account:
			return answer{}, trouble(http.StatusBadRequest, "malformed", "replaces %q, which is not one of yours", q.Replaces)
		case old.replaced:
			return answer{}, trouble(http.StatusConflict, "alreadyReplaced", "%q was replaced before", q.Replaces)
		}
	}
	for _, o := range a.orders { // the same that is on its way
		if o.account == s.account && names(o.names) == names(list) && (o.status == pending || o.status == ready || o.status == processing) && now.Before(o.expires) {
			return answer{status: http.StatusCreated, location: o.url, body: o.shown(a)}, nil
		}
	}
	s.account.orders = slices.DeleteFunc(s.account.orders, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	if a.cfg.PerHour > 0 && len(s.account.orders) >= a.cfg.PerHour {
		p := trouble(http.StatusTooManyRequests, "rateLimited", "%d orders in an hour", len(s.account.orders))
		p.after = s.account.orders[0].Add(time.Hour).Sub(now) + time.Second
		return answer{}, p
	}
	if a.cfg.PerName > 0 && q.Replaces == "" {
		n := 0
		for _, i := range a.issued {
			if i.names == names(list) && now.Sub(i.cert.NotBefore) < 7*24*time.Hour {
				n++
			}
		}
		if n >= a.cfg.PerName {
			p := trouble(http.StatusTooManyRequests, "rateLimited", "%d certificates for these names in a week", n)
			p.after = 24 * time.Hour
			return answer{}, p
		}
	}
	s.account.orders = append(s.account.orders, now)
	o := &order{url: a.next("order"), account: s.account, names: list, status: pending, replaces: q.Replaces, expires: now.Add(7 * 24 * time.Hour)}
	for _, name := range list {
		z := &authz{url: a.next("authz"), name: name, status: pending, order: o, account: s.account, token: base64.RawURLEncoding.EncodeToString([]byte(a.next("token")))}
		a.authzs[z.url] = z
		o.authzs = append(o.authzs, z)
	}
	a.orders[o.url] = o
	return answer{status: http.StatusCreated, location: o.url, body: o.shown(a)}, nil
}

func id(url string) string { return url[strings.LastIndex(url, "/")+1:] }

func (o *order) shown(a *Authority) map[string]any {
	m := map[string]any{"status": o.status, "finalize": a.base + "/finalize/" + id(o.url), "expires": o.expires.UTC().Format(time.RFC3339)}
	var ids, zs []any
	for _, n := range o.names {
		ids = append(ids, map[string]string{"type": "dns", "value": n})
	}
	for _, z := range o.authzs {
		zs = append(zs, z.url)
	}
	m["identifiers"], m["authorizations"] = ids, zs
	if o.problem != nil {
		m["error"] = o.problem
	}
	if o.status == valid {
		m["certificate"] = a.base + "/cert/" + id(o.url) + "/0"
	}
	return m
}

func (z *authz) shown(a *Authority) map[string]any {
	var list []any
	for _, kind := range []string{"http-01", "tls-alpn-01"} {
		list = append(list, z.challenge(a, kind))
	}
	return map[string]any{"status": z.status, "identifier": map[string]string{"type": "dns", "value": z.name}, "challenges": list,
		"expires": z.order.expires.UTC().Format(time.RFC3339)}
}

func (z *authz) challenge(a *Authority, kind string) map[string]any {
	m := map[string]any{"type": kind, "url": a.base + "/challenge/" + id(z.url) + "/" + kind, "token": z.token, "status": pending}
	if z.kind == kind {
		if m["status"] = z.status; z.status == pending {
			m["status"] = processing
		}
		if z.problem != nil {
			m["error"] = z.problem
		}
	}
	return m
}

// lookAt brings an order up to the present: validations and issuing that have had their time are carried out.
func (a *Authority) lookAt(o *order) {
	now := a.cfg.Now()
	for _, z := range o.authzs {
		if z.status != pending || z.kind == "" || now.Before(z.readyAt) {
			continue
		}
		a.mu.Unlock() // the validation calls out
		err := a.validate(z)
		a.mu.Lock()
		if z.status != pending {
			continue
		}
		if z.status = valid; err != nil {
			z.status = invalid
			z.problem = trouble(http.StatusForbidden, "unauthorized", "%v", err)
			if z.problem.Detail == "" {
				z.problem.Detail = "no"
			}
		}
	}
	if o.status == pending {
		all := true
		for _, z := range o.authzs {
			if z.status == invalid {
				o.status, o.problem = invalid, z.problem
				return
			}
			all = all && z.status == valid
		}
		if all {
			o.status = ready
		}
	}
	if o.status == processing && !now.Before(o.readyAt) {
		a.issue(o)
	}
	if now.After(o.expires) && o.status != valid {
		o.status = invalid
	}
}

func (a *Authority) lookOrder(_ *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orders[s.url]
	if o == nil || o.account != s.account {
		return answer{}, trouble(http.StatusNotFound, "malformed", "no such order")
	}
	a.lookAt(o)
	return answer{status: http.StatusOK, location: o.url, body: o.shown(a)}, nil
}

func (a *Authority) lookAuthz(_ *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	z := a.authzs[s.url]
	if z == nil || z.account != s.account {
		return answer{}, trouble(http.StatusNotFound, "malformed", "no such authorization")
	}
	a.lookAt(z.order)
	return answer{status: http.StatusOK, body: z.shown(a)}, nil
}

func (a *Authority) challenge(r *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	z, kind := a.authzs[a.base+"/authz/"+r.PathValue("id")], r.PathValue("kind")
	if z == nil || z.account != s.account || kind != "http-01" && kind != "tls-alpn-01" {
		return answer{}, trouble(http.StatusNotFound, "malformed", "no such challenge")
	}
	if z.status == pending && z.kind == "" && len(s.payload) > 0 {
		z.kind, z.readyAt, z.invalid = kind, a.cfg.Now().Add(s.fault.Pending), s.fault.Invalid
	}
	return answer{status: http.StatusOK, body: z.challenge(a, kind), links: []string{`<` + z.url + `>;rel="up"`}}, nil
}

func (a *Authority) finalize(r *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	var q struct {
		CSR string `json:"csr"`
	}
	if err := s.read(&q); err != nil {
		return answer{}, err
	}
	der, err := base64.RawURLEncoding.DecodeString(q.CSR)
	if err != nil {
		return answer{}, trouble(http.StatusBadRequest, "badCSR", "%v", err)
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err == nil {
		err = csr.CheckSignature()
	}
	if err != nil {
		return answer{}, trouble(http.StatusBadRequest, "badCSR", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orders[a.base+"/order/"+r.PathValue("id")]
	if o == nil || o.account != s.account {
		return answer{}, trouble(http.StatusNotFound, "malformed", "no such order")
	}
	a.lookAt(o)
	if o.status != ready {
		return answer{}, trouble(http.StatusForbidden, "orderNotReady", "the order is %s", o.status)
	}
	if names(csr.DNSNames) != names(o.names) {
		return answer{}, trouble(http.StatusBadRequest, "badCSR", "for %v in place of %v", csr.DNSNames, o.names)
	}
	o.csr, o.status, o.readyAt, o.rubbish = csr, processing, a.cfg.Now().Add(s.fault.Pending), s.fault.Rubbish
	a.lookAt(o)
	return answer{status: http.StatusOK, location: o.url, body: o.shown(a)}, nil
}

// issue makes the certificate of an order.
func (a *Authority) issue(o *order) {
	now := a.cfg.Now()
	a.serial++
	t := &x509.Certificate{SerialNumber: big.NewInt(a.serial<<32 | 1<<62), Subject: pkix.Name{CommonName: o.names[0]}, DNSNames: o.names,
		NotBefore: now.Add(-time.Hour).Truncate(time.Second), KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	t.NotAfter = t.NotBefore.Add(a.cfg.Lifetime)
	key := o.csr.PublicKey
	switch o.rubbish {
	case WrongName:
		t.DNSNames = []string{"somebody.else.example"}
	case AlreadyOver:
		t.NotBefore, t.NotAfter = t.NotBefore.Add(-2*a.cfg.Lifetime), t.NotAfter.Add(-2*a.cfg.Lifetime)
	case OtherKey:
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			o.status = invalid
			return
		}
		key = k.Public()
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.mid, key, a.key)
	if err != nil {
		o.status, o.problem = invalid, trouble(http.StatusInternalServerError, "serverInternal", "%v", err)
		return
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		o.status = invalid
		return
	}
	o.chains = [][]byte{pemChain(der, a.mid.Raw), pemChain(der, a.cross.Raw)}
	switch o.rubbish {
	case BrokenChain:
		o.chains[0] = pemChain(der, a.other.Raw)
	case NoPEM:
		o.chains[0] = []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
	}
	o.status = valid
	a.issued[identifier(cert)] = &issued{cert: cert, account: o.account, names: names(o.names)}
	if old := a.issued[o.replaces]; old != nil {
		old.replaced = true
	}
}

func (a *Authority) fetch(r *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orders[a.base+"/order/"+r.PathValue("id")]
	n := strings.IndexByte("01", (r.PathValue("chain") + " ")[0])
	if o == nil || o.account != s.account || o.status != valid || n < 0 {
		return answer{}, trouble(http.StatusNotFound, "malformed", "no such certificate")
	}
	ans := answer{status: http.StatusOK, raw: o.chains[n], kind: "application/pem-certificate-chain"}
	if n == 0 {
		ans.links = []string{`<` + a.base + "/cert/" + id(o.url) + `/1>;rel="alternate"`}
	}
	return ans, nil
}

func (a *Authority) revoke(_ *http.Request, s *signed) (answer, error) {
	var q struct {
		Certificate string `json:"certificate"`
		Reason      int    `json:"reason"`
	}
	if err := s.read(&q); err != nil {
		return answer{}, err
	}
	der, err := base64.RawURLEncoding.DecodeString(q.Certificate)
	if err != nil {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "%v", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := a.issued[identifier(cert)]
	if i == nil {
		return answer{}, trouble(http.StatusNotFound, "malformed", "no such certificate")
	}
	own := jose.JSONWebKey{Key: cert.PublicKey}
	x, _ := thumbprint(own)
	y, _ := thumbprint(s.key)
	if s.account != i.account && (s.account != nil || x != y) {
		return answer{}, trouble(http.StatusForbidden, "unauthorized", "neither its account nor its key signed this")
	}
	if i.revoked {
		return answer{}, trouble(http.StatusBadRequest, "alreadyRevoked", "it was revoked before")
	}
	i.revoked = true
	return answer{status: http.StatusOK}, nil
}

// keyChange gives an account another key, RFC 8555 section 7.3.5.
func (a *Authority) keyChange(_ *http.Request, s *signed) (answer, error) {
	if err := s.known(); err != nil {
		return answer{}, err
	}
	jws, err := jose.ParseSignedJSON(string(s.payload), algorithms)
	if err != nil || len(jws.Signatures) != 1 || jws.Signatures[0].Protected.JSONWebKey == nil {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "the inner signature: %v", err)
	}
	h := jws.Signatures[0].Protected
	inner, err := jws.Verify(*h.JSONWebKey)
	if err != nil || h.ExtraHeaders["url"] != s.url {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "the inner signature does not fit")
	}
	var q struct {
		Account string          `json:"account"`
		Old     jose.JSONWebKey `json:"oldKey"`
	}
	if err := json.Unmarshal(inner, &q); err != nil {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "%v", err)
	}
	was, err1 := thumbprint(q.Old)
	now, err2 := thumbprint(s.account.key)
	next, err3 := thumbprint(*h.JSONWebKey)
	if err := errors.Join(err1, err2, err3); err != nil || was != now || q.Account != s.account.url {
		return answer{}, trouble(http.StatusBadRequest, "malformed", "for another account or key")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if other := a.byKey[next]; other != nil {
		p := trouble(http.StatusConflict, "malformed", "another account has this key")
		return answer{}, p
	}
	delete(a.byKey, now)
	s.account.key, a.byKey[next] = *h.JSONWebKey, s.account
	return answer{status: http.StatusOK, location: s.account.url, body: s.account.shown()}, nil
}
