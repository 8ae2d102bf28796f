package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Certificates reads the PEM files of a node's mutual TLS. Both sides must
// present a certificate signed by the authority in ca; names are checked by
// signature, not by address, since addresses are plain IP numbers that move.
func Certificates(ca, certificate, key string) (*tls.Config, error) {
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

// serverName is the DNS name that every node's certificate carries.
const serverName = "trailshed"

// curves are those of the key exchange. The default one is a hybrid that costs several
// times as much, in processor time and in bytes: a zone's planner has a connection with
// each of hundreds of instances.
var curves = []tls.CurveID{tls.X25519}

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
