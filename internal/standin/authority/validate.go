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

// callTime bounds one validation.
const callTime = 5 * time.Second

// acmeIdentifier is the extension that carries the answer to tls-alpn-01, RFC 8737 section 3.
var acmeIdentifier = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 31}

// validate asks the client for the answer to a challenge, where Resolve says that the name is.
func (a *Authority) validate(z *authz) error {
	if z.invalid {
		return errors.New("played by the script")
	}
	a.mu.Lock()
	print, err := thumbprint(z.account.key)
	a.mu.Unlock()
	if err != nil {
		return err
	}
	want := z.token + "." + print
	if z.kind == "http-01" {
		return a.validateHTTP(z, want)
	}
	return a.validateTLS(z, want)
}

func (a *Authority) validateHTTP(z *authz, want string) error {
	addr := a.cfg.Resolve(z.name, 80)
	client := http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true,
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
	if got := strings.TrimRight(string(body), " \t\r\n"); resp.StatusCode != http.StatusOK || got != want {
		return fmt.Errorf("status %d, %d bytes that are not the key authorization", resp.StatusCode, len(body))
	}
	return nil
}

func (a *Authority) validateTLS(z *authz, want string) error {
	d := tls.Dialer{NetDialer: &net.Dialer{Timeout: callTime}, Config: &tls.Config{ServerName: z.name, NextProtos: []string{"acme-tls/1"},
		InsecureSkipVerify: true}} // it is self-signed, and what it must hold is checked here
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	c, err := d.DialContext(ctx, "tcp", a.cfg.Resolve(z.name, 443))
	if err != nil {
		return err
	}
	defer c.Close()
	state := c.(*tls.Conn).ConnectionState()
	if state.NegotiatedProtocol != "acme-tls/1" || len(state.PeerCertificates) == 0 {
		return fmt.Errorf("protocol %q", state.NegotiatedProtocol)
	}
	return proves(state.PeerCertificates[0], z.name, want)
}

// proves checks the certificate that answers tls-alpn-01.
func proves(cert *x509.Certificate, name, want string) error {
	if len(cert.DNSNames) != 1 || !strings.EqualFold(cert.DNSNames[0], name) {
		return fmt.Errorf("for %v in place of %s", cert.DNSNames, name)
	}
	sum := sha256.Sum256([]byte(want))
	value, err := asn1.Marshal(sum[:])
	if err != nil {
		return err
	}
	for _, e := range cert.Extensions {
		if e.Id.Equal(acmeIdentifier) && e.Critical && string(e.Value) == string(value) {
			return nil
		}
	}
	return errors.New("without the digest of the key authorization")
}
