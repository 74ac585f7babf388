package peerrpc

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// ErrKeys is returned for keys that cannot be used.
var ErrKeys = errors.New("keys of the peer connections cannot be used")

// Keys are a host's key pair and the authority that signs those of its peers.
// The certificate's name is the host's id.
type Keys struct {
	pair      tls.Certificate
	authority *x509.CertPool
}

// LoadKeys reads PEM files and checks that the certificate carries the name of
// the host; ErrKeys.
func LoadKeys(certFile, keyFile, caFile, host string) (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(ErrKeys, err.Error())
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(ErrKeys, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Wrapf(ErrKeys, "%s holds no certificate", caFile)
	}
	if err := pair.Leaf.VerifyHostname(host); err != nil {
		return nil, errors.Wrapf(ErrKeys, "%s: %s", certFile, err.Error())
	}
	return &Keys{pair: pair, authority: pool}, nil
}

// server returns the settings of a listener: callers must show a certificate
// of the authority.
func (k *Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.authority,
	}
}

// client returns the settings of a connection to a host, whose certificate
// must carry the host's id.
func (k *Keys) client(host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.pair},
		RootCAs:      k.authority,
		ServerName:   host,
	}
}
