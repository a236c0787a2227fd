package authority

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/asn1"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// validationTimeout limits the duration of a validation.
const validationTimeout = 5 * time.Second

// acmeIdentifierOID identifies the certificate extension that carries the response to a tls-alpn-01 challenge (RFC 8737, section 3).
var acmeIdentifierOID = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 31}

// validate validates a challenge by requesting its response from the address that Resolve returns for the name.
func (a *Authority) validate(z *authz) error {
	if z.forceInvalid {
		return errors.New("injected validation failure")
	}
	a.mu.Lock()
	keyThumbprint, err := thumbprint(z.account.key)
	a.mu.Unlock()
	if err != nil {
		return err
	}
	keyAuthorization := z.token + "." + keyThumbprint
	if z.challengeType == "http-01" {
		return a.validateHTTP(z, keyAuthorization)
	}
	return a.validateTLS(z, keyAuthorization)
}

// validateHTTP validates an http-01 challenge.
func (a *Authority) validateHTTP(z *authz, keyAuthorization string) error {
	addr := a.cfg.Resolve(z.name, 80)
	client := http.Client{Timeout: validationTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, addr)
		}}}
	resp, err := client.Get("http://" + z.name + "/.well-known/acme-challenge/" + z.token)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if err != nil {
		return err
	}
	if got := strings.TrimRight(string(body), " \t\r\n"); resp.StatusCode != http.StatusOK || got != keyAuthorization {
		return fmt.Errorf("status %d, %d bytes that are not the key authorization", resp.StatusCode, len(body))
	}
	return nil
}

// validateTLS validates a tls-alpn-01 challenge.
func (a *Authority) validateTLS(z *authz, keyAuthorization string) error {
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: validationTimeout}, Config: &tls.Config{ServerName: z.name, NextProtos: []string{"acme-tls/1"},
		InsecureSkipVerify: true}} // the certificate is self-signed; checkTLSALPNCert checks its contents
	ctx, cancel := context.WithTimeout(context.Background(), validationTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", a.cfg.Resolve(z.name, 443))
	if err != nil {
		return err
	}
	defer conn.Close()
	state := conn.(*tls.Conn).ConnectionState()
	if state.NegotiatedProtocol != "acme-tls/1" || len(state.PeerCertificates) == 0 {
		return fmt.Errorf("protocol %q", state.NegotiatedProtocol)
	}
	return checkTLSALPNCert(state.PeerCertificates[0], z.name, keyAuthorization)
}

// checkTLSALPNCert checks that the certificate is a valid response to a tls-alpn-01 challenge: it is for name alone and has the critical
// extension with the digest of keyAuthorization.
func checkTLSALPNCert(cert *x509.Certificate, name, keyAuthorization string) error {
	if len(cert.DNSNames) != 1 || !strings.EqualFold(cert.DNSNames[0], name) {
		return fmt.Errorf("for %v in place of %s", cert.DNSNames, name)
	}
	sum := sha256.Sum256([]byte(keyAuthorization))
	value, err := asn1.Marshal(sum[:])
	if err != nil {
		return err
	}
	for _, extension := range cert.Extensions {
		if extension.Id.Equal(acmeIdentifierOID) && extension.Critical && string(extension.Value) == string(value) {
			return nil
		}
	}
	return errors.New("without the digest of the key authorization")
}
