package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// LoadTLS returns a mutual TLS configuration from PEM files. Both sides must present a
// certificate signed by the authority in ca. It is not checked against the peer's address,
// because peers are addressed by IP and their addresses change.
func LoadTLS(ca, certificate, key string) (*tls.Config, error) {
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s: no certificate in PEM form", ca)
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, Error.New("certificate %s with key %s: %v", certificate, key, err)
	}
	if err := signedBy(pool, pair); err != nil {
		return nil, Error.New("certificate %s: %v", certificate, err)
	}
	return &tls.Config{
		Certificates:     []tls.Certificate{pair},
		RootCAs:          pool,
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ServerName:       serverName,
		NextProtos:       []string{protocol},
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: curves,
	}, nil
}

// serverName is the DNS name in every node's certificate.
const serverName = "trailshed"

// curves are the allowed key exchanges. The default of crypto/tls is a hybrid that costs
// several times as much processor time and bytes, and a zone's planner has a connection
// with each of hundreds of instances.
var curves = []tls.CurveID{tls.X25519}

// signedBy checks that the pair's certificate is valid for both TLS roles under pool.
func signedBy(pool *x509.CertPool, pair tls.Certificate) error {
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return err
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots: pool, DNSName: serverName,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	return err
}
