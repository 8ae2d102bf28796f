package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"
)

// identityValidity is how long before and after its creation a process's own certificate
// is valid. Each start creates a new one. The period is long because clocks may differ
// and step by hours.
const identityValidity = 10 * 365 * 24 * time.Hour

// Identity is a process's self-signed certificate, which peers trust by its fingerprint.
type Identity struct {
	Fingerprint string // SHA-256 of the certificate, in hex
	certificate tls.Certificate
}

// NewIdentity generates a key and a certificate for the node called name.
func NewIdentity(name string) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, Error.Wrap(err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-identityValidity), NotAfter: now.Add(identityValidity),
		KeyUsage: x509.KeyUsageDigitalSignature, DNSNames: []string{serverName},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return Identity{}, Error.Wrap(err)
	}
	return Identity{
		Fingerprint: fingerprint(der),
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
	}, nil
}

// PinnedTLS returns a mutual TLS configuration that verifies peers by fingerprint. trusted
// returns the name of the node whose certificate has a fingerprint, and the certificate
// must carry that name.
func PinnedTLS(own Identity, trusted func(fingerprint string) (name string, ok bool)) *tls.Config {
	verify := func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return Error.New("no certificate")
		}
		leaf, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return Error.Wrap(err)
		}
		name, ok := trusted(fingerprint(raw[0]))
		if !ok || name != leaf.Subject.CommonName {
			return Error.New("certificate of %q is not known", leaf.Subject.CommonName)
		}
		return nil
	}
	return &tls.Config{
		Certificates: []tls.Certificate{own.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// A self-signed certificate has no chain to verify; verify checks its
		// fingerprint instead.
		InsecureSkipVerify:     true,
		VerifyPeerCertificate:  verify,
		SessionTicketsDisabled: true, // a resumed session would skip verify
		ServerName:             serverName,
		NextProtos:             []string{protocol},
		MinVersion:             tls.VersionTLS13,
		CurvePreferences:       curves,
	}
}

func fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}
