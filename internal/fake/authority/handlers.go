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

// discardLog returns a logger for the HTTP server that discards its output, since the server logs each injected fault.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// signedRequest is a call whose signature has been verified.
type signedRequest struct {
	payload []byte
	account *account        // nil if the request is signed with an embedded key (jwk)
	key     jose.JSONWebKey // key of the signature
	url     string
	fault   Fault
}

// response is the response to a signed call.
type response struct {
	status      int
	location    string
	body        any    // encoded as JSON; nil for none
	raw         []byte // sent in place of body unless it is nil
	contentType string // empty for application/json
	links       []string
	retryAfter  time.Duration
}

// handleSigned returns a handler for calls that need a signature (RFC 8555, section 6).
func (a *Authority) handleSigned(op Op, handle func(*http.Request, *signedRequest) (response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := a.countCall(op)
		w.Header().Set("Replay-Nonce", a.newNonce())
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("Link", `<`+a.URL()+`>;rel="index"`)
		if injectFault(w, r, fault) {
			return
		}
		s, err := a.verifySigned(r, fault)
		var resp response
		if err == nil {
			resp, err = handle(r, s)
		}
		if fault.DropResponse {
			panic(http.ErrAbortHandler)
		}
		var p *problem
		switch {
		case errors.As(err, &p):
			writeProblem(w, p)
			return
		case err != nil:
			writeProblem(w, newProblem(http.StatusInternalServerError, "serverInternal", "%v", err))
			return
		}
		for _, link := range resp.links {
			w.Header().Add("Link", link)
		}
		if resp.location != "" {
			w.Header().Set("Location", resp.location)
		}
		if resp.retryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprint(int(resp.retryAfter/time.Second)))
		}
		if resp.contentType == "" {
			resp.contentType = "application/json"
		}
		w.Header().Set("Content-Type", resp.contentType)
		w.WriteHeader(resp.status)
		if resp.raw != nil {
			w.Write(resp.raw)
		} else if resp.body != nil {
			json.NewEncoder(w).Encode(resp.body)
		}
	}
}

// verifySigned verifies the signature, nonce, URL and key or account of a call.
func (a *Authority) verifySigned(r *http.Request, fault Fault) (*signedRequest, error) {
	if contentType := r.Header.Get("Content-Type"); contentType != "application/jose+json" {
		return nil, newProblem(http.StatusUnsupportedMediaType, "malformed", "content type %q", contentType)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	jws, err := jose.ParseSignedJSON(string(raw), algorithms)
	if err != nil || len(jws.Signatures) != 1 {
		return nil, newProblem(http.StatusBadRequest, "malformed", "not signed as it must be: %v", err)
	}
	header := jws.Signatures[0].Protected
	a.mu.Lock()
	fresh := a.nonces[header.Nonce]
	delete(a.nonces, header.Nonce)
	a.mu.Unlock()
	if !fresh || fault.BadNonce {
		return nil, newProblem(http.StatusBadRequest, "badNonce", "this nonce is not one of ours, or was used")
	}
	s := &signedRequest{fault: fault}
	s.url, _ = header.ExtraHeaders["url"].(string)
	if s.url != a.base+r.URL.Path {
		return nil, newProblem(http.StatusUnauthorized, "unauthorized", "signed for %q", s.url)
	}
	switch {
	case (header.JSONWebKey == nil) == (header.KeyID == ""):
		return nil, newProblem(http.StatusBadRequest, "malformed", "one of jwk and kid is needed")
	case header.JSONWebKey != nil:
		if !header.JSONWebKey.Valid() || !header.JSONWebKey.IsPublic() {
			return nil, newProblem(http.StatusBadRequest, "badPublicKey", "this is no public key")
		}
		s.key = *header.JSONWebKey
	default:
		a.mu.Lock()
		s.account = a.accounts[header.KeyID]
		a.mu.Unlock()
		if s.account == nil {
			return nil, newProblem(http.StatusBadRequest, "accountDoesNotExist", "no account %q", header.KeyID)
		}
		if s.account.status != valid {
			return nil, newProblem(http.StatusUnauthorized, "unauthorized", "the account is %s", s.account.status)
		}
		s.key = s.account.key
	}
	if s.payload, err = jws.Verify(s.key); err != nil {
		return nil, newProblem(http.StatusUnauthorized, "malformed", "the signature does not fit")
	}
	return s, nil
}

// decode decodes the JSON payload into v.
func (s *signedRequest) decode(v any) error {
	if err := json.Unmarshal(s.payload, v); err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	return nil
}

// requireAccount returns an error unless the call is signed by an account.
func (s *signedRequest) requireAccount() error {
	if s.account == nil {
		return newProblem(http.StatusUnauthorized, "unauthorized", "this call needs an account")
	}
	return nil
}

// newURL returns a new unique URL for a resource. a.mu must be held.
func (a *Authority) newURL(resourceType string) string {
	a.serial++
	return fmt.Sprintf("%s/%s/%d", a.base, resourceType, a.serial)
}

// body returns the account object of a response.
func (acc *account) body() map[string]any {
	return map[string]any{"status": acc.status, "contact": acc.contact, "orders": acc.url + "/orders"}
}

func (a *Authority) newAccount(_ *http.Request, s *signedRequest) (response, error) {
	if s.account != nil {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "a new account brings its key")
	}
	var req struct {
		Contact []string        `json:"contact"`
		Only    bool            `json:"onlyReturnExisting"`
		EAB     json.RawMessage `json:"externalAccountBinding"`
	}
	if err := s.decode(&req); err != nil {
		return response{}, err
	}
	keyThumbprint, err := thumbprint(s.key)
	if err != nil {
		return response{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.accountsByKey[keyThumbprint]; acc != nil {
		return response{status: http.StatusOK, location: acc.url, body: acc.body()}, nil
	}
	if req.Only {
		return response{}, newProblem(http.StatusBadRequest, "accountDoesNotExist", "no account with this key")
	}
	for _, contact := range req.Contact {
		if !strings.HasPrefix(contact, "mailto:") {
			return response{}, newProblem(http.StatusBadRequest, "unsupportedContact", "contact %q; mailto: is taken", contact)
		}
	}
	if len(a.cfg.EAB) > 0 {
		if err := a.checkBinding(req.EAB, s); err != nil {
			return response{}, err
		}
	}
	acc := &account{url: a.newURL("account"), key: s.key, contact: req.Contact, status: valid}
	a.accounts[acc.url], a.accountsByKey[keyThumbprint] = acc, acc
	return response{status: http.StatusCreated, location: acc.url, body: acc.body()}, nil
}

// checkBinding checks an external account binding (RFC 8555, section 7.3.4).
func (a *Authority) checkBinding(raw json.RawMessage, s *signedRequest) error {
	if len(raw) == 0 {
		return newProblem(http.StatusForbidden, "externalAccountRequired", "an account here needs a binding")
	}
	jws, err := jose.ParseSignedJSON(string(raw), []jose.SignatureAlgorithm{jose.HS256})
	if err != nil || len(jws.Signatures) != 1 {
		return newProblem(http.StatusBadRequest, "malformed", "binding: %v", err)
	}
	header := jws.Signatures[0].Protected
	macKey, ok := a.cfg.EAB[header.KeyID]
	if !ok {
		return newProblem(http.StatusUnauthorized, "unauthorized", "no binding key %q", header.KeyID)
	}
	payload, err := jws.Verify(macKey)
	if err != nil || header.ExtraHeaders["url"] != s.url {
		return newProblem(http.StatusUnauthorized, "unauthorized", "the binding's signature does not fit")
	}
	var boundKey jose.JSONWebKey
	if err := json.Unmarshal(payload, &boundKey); err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "binding: %v", err)
	}
	boundThumbprint, err1 := thumbprint(boundKey)
	requestThumbprint, err2 := thumbprint(s.key)
	if err := errors.Join(err1, err2); err != nil || boundThumbprint != requestThumbprint {
		return newProblem(http.StatusUnauthorized, "unauthorized", "the binding is for another key")
	}
	return nil
}

func (a *Authority) updateAccount(_ *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	if s.url != s.account.url {
		return response{}, newProblem(http.StatusUnauthorized, "unauthorized", "this is another's account")
	}
	var req struct {
		Contact []string `json:"contact"`
		Status  string   `json:"status"`
	}
	if len(s.payload) > 0 {
		if err := s.decode(&req); err != nil {
			return response{}, err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Contact != nil {
		s.account.contact = req.Contact
	}
	if req.Status == "deactivated" {
		s.account.status = req.Status
	}
	return response{status: http.StatusOK, location: s.account.url, body: s.account.body()}, nil
}

func (a *Authority) newOrder(_ *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	var req struct {
		Identifiers []struct{ Type, Value string } `json:"identifiers"`
		Replaces    string                         `json:"replaces"`
	}
	if err := s.decode(&req); err != nil {
		return response{}, err
	}
	var requestedNames []string
	for _, id := range req.Identifiers {
		if id.Type != "dns" || strings.ContainsAny(id.Value, "*/ ") || !strings.Contains(id.Value, ".") {
			return response{}, newProblem(http.StatusBadRequest, "rejectedIdentifier", "%s %q is not issued here", id.Type, id.Value)
		}
		requestedNames = append(requestedNames, id.Value)
	}
	if len(requestedNames) == 0 {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "no identifiers")
	}
	now := a.cfg.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Replaces != "" {
		replaced := a.issued[req.Replaces]
		switch {
		case s.fault.RejectReplaces || replaced == nil || replaced.account != s.account:
			return response{}, newProblem(http.StatusBadRequest, "malformed", "replaces %q, which is not one of yours", req.Replaces)
		case replaced.replaced:
			return response{}, newProblem(http.StatusConflict, "alreadyReplaced", "%q was replaced before", req.Replaces)
		}
	}
	for _, o := range a.orders { // an open order for the same names is returned in place of a second one
		if o.account == s.account && nameKey(o.names) == nameKey(requestedNames) && (o.status == pending || o.status == ready || o.status == processing) && now.Before(o.expires) {
			return response{status: http.StatusCreated, location: o.url, body: o.body(a)}, nil
		}
	}
	s.account.orders = slices.DeleteFunc(s.account.orders, func(t time.Time) bool { return now.Sub(t) >= time.Hour })
	if a.cfg.OrdersPerHour > 0 && len(s.account.orders) >= a.cfg.OrdersPerHour {
		p := newProblem(http.StatusTooManyRequests, "rateLimited", "%d orders in an hour", len(s.account.orders))
		p.retryAfter = s.account.orders[0].Add(time.Hour).Sub(now) + time.Second
		return response{}, p
	}
	if a.cfg.CertsPerWeek > 0 && req.Replaces == "" {
		recent := 0
		for _, issued := range a.issued {
			if issued.nameKey == nameKey(requestedNames) && now.Sub(issued.cert.NotBefore) < 7*24*time.Hour {
				recent++
			}
		}
		if recent >= a.cfg.CertsPerWeek {
			p := newProblem(http.StatusTooManyRequests, "rateLimited", "%d certificates for these names in a week", recent)
			p.retryAfter = 24 * time.Hour
			return response{}, p
		}
	}
	s.account.orders = append(s.account.orders, now)
	o := &order{url: a.newURL("order"), account: s.account, names: requestedNames, status: pending, replaces: req.Replaces, expires: now.Add(7 * 24 * time.Hour)}
	for _, name := range requestedNames {
		z := &authz{url: a.newURL("authz"), name: name, status: pending, order: o, account: s.account, token: base64.RawURLEncoding.EncodeToString([]byte(a.newURL("token")))}
		a.authzs[z.url] = z
		o.authzs = append(o.authzs, z)
	}
	a.orders[o.url] = o
	return response{status: http.StatusCreated, location: o.url, body: o.body(a)}, nil
}

// lastSegment returns the part of a URL after the last slash.
func lastSegment(url string) string { return url[strings.LastIndex(url, "/")+1:] }

// body returns the order object of a response.
func (o *order) body(a *Authority) map[string]any {
	body := map[string]any{"status": o.status, "finalize": a.base + "/finalize/" + lastSegment(o.url), "expires": o.expires.UTC().Format(time.RFC3339)}
	var identifiers, authzURLs []any
	for _, name := range o.names {
		identifiers = append(identifiers, map[string]string{"type": "dns", "value": name})
	}
	for _, z := range o.authzs {
		authzURLs = append(authzURLs, z.url)
	}
	body["identifiers"], body["authorizations"] = identifiers, authzURLs
	if o.problem != nil {
		body["error"] = o.problem
	}
	if o.status == valid {
		body["certificate"] = a.base + "/cert/" + lastSegment(o.url) + "/0"
	}
	return body
}

// body returns the authorization object of a response.
func (z *authz) body(a *Authority) map[string]any {
	var challenges []any
	for _, challengeType := range []string{"http-01", "tls-alpn-01"} {
		challenges = append(challenges, z.challengeBody(a, challengeType))
	}
	return map[string]any{"status": z.status, "identifier": map[string]string{"type": "dns", "value": z.name}, "challenges": challenges,
		"expires": z.order.expires.UTC().Format(time.RFC3339)}
}

// challengeBody returns the challenge object of a response for one of the authorization's challenge types.
func (z *authz) challengeBody(a *Authority, challengeType string) map[string]any {
	body := map[string]any{"type": challengeType, "url": a.base + "/challenge/" + lastSegment(z.url) + "/" + challengeType, "token": z.token, "status": pending}
	if z.challengeType == challengeType {
		if body["status"] = z.status; z.status == pending {
			body["status"] = processing
		}
		if z.problem != nil {
			body["error"] = z.problem
		}
	}
	return body
}

// updateOrder carries out the validations and the issuance of an order that are due and updates its status. a.mu must be held; it is
// released during validations.
func (a *Authority) updateOrder(o *order) {
	now := a.cfg.Now()
	for _, z := range o.authzs {
		if z.status != pending || z.challengeType == "" || now.Before(z.validateAt) {
			continue
		}
		a.mu.Unlock() // a validation makes network connections
		err := a.validate(z)
		a.mu.Lock()
		if z.status != pending {
			continue
		}
		if z.status = valid; err != nil {
			z.status = invalid
			z.problem = newProblem(http.StatusForbidden, "unauthorized", "%v", err)
			if z.problem.Detail == "" {
				z.problem.Detail = "no"
			}
		}
	}
	if o.status == pending {
		allValid := true
		for _, z := range o.authzs {
			if z.status == invalid {
				o.status, o.problem = invalid, z.problem
				return
			}
			allValid = allValid && z.status == valid
		}
		if allValid {
			o.status = ready
		}
	}
	if o.status == processing && !now.Before(o.issueAt) {
		a.issue(o)
	}
	if now.After(o.expires) && o.status != valid {
		o.status = invalid
	}
}

func (a *Authority) getOrder(_ *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orders[s.url]
	if o == nil || o.account != s.account {
		return response{}, newProblem(http.StatusNotFound, "malformed", "no such order")
	}
	a.updateOrder(o)
	return response{status: http.StatusOK, location: o.url, body: o.body(a)}, nil
}

func (a *Authority) getAuthz(_ *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	z := a.authzs[s.url]
	if z == nil || z.account != s.account {
		return response{}, newProblem(http.StatusNotFound, "malformed", "no such authorization")
	}
	a.updateOrder(z.order)
	return response{status: http.StatusOK, body: z.body(a)}, nil
}

// startChallenge returns a challenge. If the request has a payload, it first starts the validation unless one was started before.
func (a *Authority) startChallenge(r *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	z, challengeType := a.authzs[a.base+"/authz/"+r.PathValue("id")], r.PathValue("kind")
	if z == nil || z.account != s.account || challengeType != "http-01" && challengeType != "tls-alpn-01" {
		return response{}, newProblem(http.StatusNotFound, "malformed", "no such challenge")
	}
	if z.status == pending && z.challengeType == "" && len(s.payload) > 0 {
		z.challengeType, z.validateAt, z.forceInvalid = challengeType, a.cfg.Now().Add(s.fault.Delay), s.fault.FailValidation
	}
	return response{status: http.StatusOK, body: z.challengeBody(a, challengeType), links: []string{`<` + z.url + `>;rel="up"`}}, nil
}

func (a *Authority) finalize(r *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	var req struct {
		CSR string `json:"csr"`
	}
	if err := s.decode(&req); err != nil {
		return response{}, err
	}
	der, err := base64.RawURLEncoding.DecodeString(req.CSR)
	if err != nil {
		return response{}, newProblem(http.StatusBadRequest, "badCSR", "%v", err)
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err == nil {
		err = csr.CheckSignature()
	}
	if err != nil {
		return response{}, newProblem(http.StatusBadRequest, "badCSR", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orders[a.base+"/order/"+r.PathValue("id")]
	if o == nil || o.account != s.account {
		return response{}, newProblem(http.StatusNotFound, "malformed", "no such order")
	}
	a.updateOrder(o)
	if o.status != ready {
		return response{}, newProblem(http.StatusForbidden, "orderNotReady", "the order is %s", o.status)
	}
	if nameKey(csr.DNSNames) != nameKey(o.names) {
		return response{}, newProblem(http.StatusBadRequest, "badCSR", "for %v in place of %v", csr.DNSNames, o.names)
	}
	o.csr, o.status, o.issueAt, o.defect = csr, processing, a.cfg.Now().Add(s.fault.Delay), s.fault.Defect
	a.updateOrder(o)
	return response{status: http.StatusOK, location: o.url, body: o.body(a)}, nil
}

// issue issues the certificate of an order. a.mu must be held.
func (a *Authority) issue(o *order) {
	now := a.cfg.Now()
	a.serial++
	template := &x509.Certificate{SerialNumber: big.NewInt(a.serial<<32 | 1<<62), Subject: pkix.Name{CommonName: o.names[0]}, DNSNames: o.names,
		NotBefore: now.Add(-time.Hour).Truncate(time.Second), KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	template.NotAfter = template.NotBefore.Add(a.cfg.Lifetime)
	key := o.csr.PublicKey
	switch o.defect {
	case WrongName:
		template.DNSNames = []string{"somebody.else.example"}
	case Expired:
		template.NotBefore, template.NotAfter = template.NotBefore.Add(-2*a.cfg.Lifetime), template.NotAfter.Add(-2*a.cfg.Lifetime)
	case OtherKey:
		otherKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			o.status = invalid
			return
		}
		key = otherKey.Public()
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.issuer, key, a.issuerKey)
	if err != nil {
		o.status, o.problem = invalid, newProblem(http.StatusInternalServerError, "serverInternal", "%v", err)
		return
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		o.status = invalid
		return
	}
	o.chains = [][]byte{pemChain(der, a.issuer.Raw), pemChain(der, a.altIssuer.Raw)}
	switch o.defect {
	case BrokenChain:
		o.chains[0] = pemChain(der, a.altRoot.Raw)
	case InvalidDER:
		o.chains[0] = []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
	}
	o.status = valid
	a.issued[ariID(cert)] = &issuedCert{cert: cert, account: o.account, nameKey: nameKey(o.names)}
	if replaced := a.issued[o.replaces]; replaced != nil {
		replaced.replaced = true
	}
}

func (a *Authority) downloadCert(r *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.orders[a.base+"/order/"+r.PathValue("id")]
	chain := strings.IndexByte("01", (r.PathValue("chain") + " ")[0])
	if o == nil || o.account != s.account || o.status != valid || chain < 0 {
		return response{}, newProblem(http.StatusNotFound, "malformed", "no such certificate")
	}
	resp := response{status: http.StatusOK, raw: o.chains[chain], contentType: "application/pem-certificate-chain"}
	if chain == 0 {
		resp.links = []string{`<` + a.base + "/cert/" + lastSegment(o.url) + `/1>;rel="alternate"`}
	}
	return resp, nil
}

func (a *Authority) revoke(_ *http.Request, s *signedRequest) (response, error) {
	var req struct {
		Certificate string `json:"certificate"`
		Reason      int    `json:"reason"`
	}
	if err := s.decode(&req); err != nil {
		return response{}, err
	}
	der, err := base64.RawURLEncoding.DecodeString(req.Certificate)
	if err != nil {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	issued := a.issued[ariID(cert)]
	if issued == nil {
		return response{}, newProblem(http.StatusNotFound, "malformed", "no such certificate")
	}
	certKey := jose.JSONWebKey{Key: cert.PublicKey}
	certThumbprint, _ := thumbprint(certKey)
	requestThumbprint, _ := thumbprint(s.key)
	if s.account != issued.account && (s.account != nil || certThumbprint != requestThumbprint) {
		return response{}, newProblem(http.StatusForbidden, "unauthorized", "neither its account nor its key signed this")
	}
	if issued.revoked {
		return response{}, newProblem(http.StatusBadRequest, "alreadyRevoked", "it was revoked before")
	}
	issued.revoked = true
	return response{status: http.StatusOK}, nil
}

// changeKey replaces an account's key (RFC 8555, section 7.3.5).
func (a *Authority) changeKey(_ *http.Request, s *signedRequest) (response, error) {
	if err := s.requireAccount(); err != nil {
		return response{}, err
	}
	jws, err := jose.ParseSignedJSON(string(s.payload), algorithms)
	if err != nil || len(jws.Signatures) != 1 || jws.Signatures[0].Protected.JSONWebKey == nil {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "the inner signature: %v", err)
	}
	innerHeader := jws.Signatures[0].Protected
	innerPayload, err := jws.Verify(*innerHeader.JSONWebKey)
	if err != nil || innerHeader.ExtraHeaders["url"] != s.url {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "the inner signature does not fit")
	}
	var req struct {
		Account string          `json:"account"`
		Old     jose.JSONWebKey `json:"oldKey"`
	}
	if err := json.Unmarshal(innerPayload, &req); err != nil {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	oldThumbprint, err1 := thumbprint(req.Old)
	currentThumbprint, err2 := thumbprint(s.account.key)
	newThumbprint, err3 := thumbprint(*innerHeader.JSONWebKey)
	if err := errors.Join(err1, err2, err3); err != nil || oldThumbprint != currentThumbprint || req.Account != s.account.url {
		return response{}, newProblem(http.StatusBadRequest, "malformed", "for another account or key")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if other := a.accountsByKey[newThumbprint]; other != nil {
		p := newProblem(http.StatusConflict, "malformed", "another account has this key")
		return response{}, p
	}
	delete(a.accountsByKey, currentThumbprint)
	s.account.key, a.accountsByKey[newThumbprint] = *innerHeader.JSONWebKey, s.account
	return response{status: http.StatusOK, location: s.account.url, body: s.account.body()}, nil
}
