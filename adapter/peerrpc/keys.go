package peerrpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// ErrInvalidKeys is returned for key files that cannot be read or do not fit the
// host.
var ErrInvalidKeys = errors.New("keys of the peer connections cannot be used")

// Keys are the key pair of a host and the certificate authority that signs the
// certificates of its peers. The DNS name of a certificate is the id of its host.
type Keys struct {
	pair      tls.Certificate
	authority *x509.CertPool
}

// LoadKeys reads PEM files and checks that the certificate carries the id of the
// host. It returns ErrInvalidKeys otherwise.
func LoadKeys(certFile, keyFile, caFile, host string) (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidKeys, err.Error())
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidKeys, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Wrapf(ErrInvalidKeys, "%s holds no certificate", caFile)
	}
	if err := pair.Leaf.VerifyHostname(host); err != nil {
		return nil, errors.Wrapf(ErrInvalidKeys, "%s: %s", certFile, err.Error())
	}
	return &Keys{pair: pair, authority: pool}, nil
}

// serverConfig returns the TLS configuration of a listener: callers must present a
// certificate signed by the authority.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.authority,
	}
}

// clientConfig returns the TLS configuration of a connection to a host, whose
// certificate must carry the host's id.
func (k *Keys) clientConfig(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.pair},
		RootCAs:      k.authority,
		ServerName:   host,
	}
}
