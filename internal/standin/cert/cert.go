// Package cert creates a certificate authority and certificates for demonstrations
// and tests. They are valid for a day and provide no security.
package cert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const validity = 24 * time.Hour

// Authority is a certificate authority that signs the certificates of nodes.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority and writes its certificate to dir/ca.pem.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := template("trailshed stand-in authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der)
}

// Issue creates a certificate and key for the node called name and writes them to
// dir/NAME.pem and dir/NAME.key.
func (a *Authority) Issue(name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := template(name)
	template.DNSNames = []string{"trailshed"}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(a.dir, name+".pem"), "CERTIFICATE", der); err != nil {
		return err
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(filepath.Join(a.dir, name+".key"), "EC PRIVATE KEY", raw)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(validity),
	}
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
