package certs

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"

	"cairnlane/internal/state/keystore"
)

// maxChainLength is the maximum number of certificates in a chain.
const maxChainLength = 10

// minRemainingValidity is the minimum remaining validity of an accepted certificate, and how far in the future its
// validity may begin.
const minRemainingValidity = time.Hour

// verifyChain parses a PEM chain and verifies it against the names, the key, the current time and the roots. It
// returns the certificates in DER form.
func verifyChain(chain []byte, names []string, key crypto.Signer, now time.Time, roots *x509.CertPool) ([][]byte, error) {
	var der [][]byte
	var certs []*x509.Certificate
	for rest := chain; len(bytes.TrimSpace(rest)) > 0; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil || b.Type != "CERTIFICATE" {
			return nil, errors.New("the response is not a PEM certificate chain")
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d of the chain: %w", len(certs)+1, err)
		}
		if der, certs = append(der, b.Bytes), append(certs, c); len(certs) > maxChainLength {
			return nil, fmt.Errorf("the chain has more than %d certificates", maxChainLength)
		}
	}
	if len(certs) == 0 {
		return nil, errors.New("the certificate chain is empty")
	}
	leaf := certs[0]
	if pub, ok := key.Public().(*ecdsa.PublicKey); !ok || !pub.Equal(leaf.PublicKey) {
		return nil, errors.New("the certificate is for a different key")
	}
	if leaf.NotBefore.After(now.Add(minRemainingValidity)) || leaf.NotAfter.Before(now.Add(minRemainingValidity)) {
		return nil, fmt.Errorf("the certificate is valid from %v to %v, the current time is %v", leaf.NotBefore, leaf.NotAfter, now)
	}
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	at := now
	if at.Before(leaf.NotBefore) {
		at = leaf.NotBefore
	}
	for _, name := range names {
		if _, err := leaf.Verify(x509.VerifyOptions{DNSName: name, Roots: roots, Intermediates: intermediates, CurrentTime: at}); err != nil {
			return nil, err
		}
	}
	return der, nil
}

// tlsCertificate converts a stored certificate and its key for use in handshakes.
func tlsCertificate(g keystore.Generation) (*tls.Certificate, error) {
	if len(g.Chain) == 0 {
		return nil, errors.New("the stored chain is empty")
	}
	leaf, err := x509.ParseCertificate(g.Chain[0])
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(g.Key)
	if err != nil {
		return nil, err
	}
	if pub, ok := key.(crypto.Signer); !ok || !pub.Public().(interface{ Equal(crypto.PublicKey) bool }).Equal(leaf.PublicKey) {
		return nil, errors.New("the key does not match the certificate")
	}
	return &tls.Certificate{Certificate: g.Chain, PrivateKey: key, Leaf: leaf}, nil
}

// selfSigned makes a self-signed certificate.
func selfSigned(names []string, now time.Time, life time.Duration) (keystore.Generation, error) {
	raw, err := newKey()
	if err != nil {
		return keystore.Generation{}, err
	}
	key, err := x509.ParsePKCS8PrivateKey(raw)
	if err != nil {
		return keystore.Generation{}, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return keystore.Generation{}, err
	}
	t := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: names[0]}, DNSNames: names, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(life),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.(crypto.Signer).Public(), key)
	if err != nil {
		return keystore.Generation{}, err
	}
	return keystore.Generation{Key: raw, Chain: [][]byte{der}, Stored: now}, nil
}
