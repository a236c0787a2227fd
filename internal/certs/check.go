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

// chainMost bounds a chain, in certificates.
const chainMost = 10

// least is how long a certificate must still be good for to be taken.
const least = time.Hour

// check reads a chain and tells whether it may be used: for these names, with this key, now, and leading to a root.
func check(chain []byte, names []string, key crypto.Signer, now time.Time, roots *x509.CertPool) ([][]byte, error) {
	var der [][]byte
	var certs []*x509.Certificate
	for rest := chain; len(bytes.TrimSpace(rest)) > 0; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil || b.Type != "CERTIFICATE" {
			return nil, errors.New("what came is no chain of certificates")
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d of the chain: %w", len(certs)+1, err)
		}
		if der, certs = append(der, b.Bytes), append(certs, c); len(certs) > chainMost {
			return nil, fmt.Errorf("a chain of over %d certificates", chainMost)
		}
	}
	if len(certs) == 0 {
		return nil, errors.New("an empty chain")
	}
	leaf := certs[0]
	if pub, ok := key.Public().(*ecdsa.PublicKey); !ok || !pub.Equal(leaf.PublicKey) {
		return nil, errors.New("it is for another key")
	}
	if leaf.NotBefore.After(now.Add(least)) || leaf.NotAfter.Before(now.Add(least)) {
		return nil, fmt.Errorf("it is good from %v to %v, and it is %v", leaf.NotBefore, leaf.NotAfter, now)
	}
	middle := x509.NewCertPool()
	for _, c := range certs[1:] {
		middle.AddCert(c)
	}
	at := now
	if at.Before(leaf.NotBefore) {
		at = leaf.NotBefore
	}
	for _, name := range names {
		if _, err := leaf.Verify(x509.VerifyOptions{DNSName: name, Roots: roots, Intermediates: middle, CurrentTime: at}); err != nil {
			return nil, err
		}
	}
	return der, nil
}

// pair makes what a handshake needs of a stored certificate.
func pair(g keystore.Generation) (*tls.Certificate, error) {
	if len(g.Chain) == 0 {
		return nil, errors.New("without a certificate")
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
		return nil, errors.New("the key does not belong to the certificate")
	}
	return &tls.Certificate{Certificate: g.Chain, PrivateKey: key, Leaf: leaf}, nil
}

// selfSigned makes a certificate of our own.
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
