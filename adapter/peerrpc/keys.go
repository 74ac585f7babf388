package peerrpc

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/jsonhttp"
)

// handshakeTimeout bounds the TLS handshake with a calling peer.
const handshakeTimeout = 5 * time.Second

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

// Accept performs the TLS handshake with a caller. It closes the connection if the
// handshake fails.
func (k *Keys) Accept(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	tlsConn := tls.Server(conn, k.serverConfig())
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close() // nothing was received on it
		return nil, errors.Wrap(err, "handshake")
	}
	return tlsConn, nil
}

// Dialer opens connections to hosts.
type Dialer struct {
	Dial jsonhttp.DialFunc
	// Keys make the connections use mutual TLS; nil for connections without it.
	Keys *Keys
	// HostAt returns the id of the host that is listed at an address. With Keys, no
	// connection is opened to an unlisted address.
	HostAt func(address string) (host string, ok bool)
}

// Open dials and, with keys, performs the mutual TLS handshake.
func (d Dialer) Open(ctx context.Context, address string) (net.Conn, error) {
	config, err := d.tlsConfig(address)
	if err != nil {
		return nil, err
	}
	raw, err := d.Dial(ctx, "tcp", address)
	if err != nil || config == nil {
		return raw, err
	}
	tlsConn := tls.Client(raw, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = raw.Close() // nothing was sent on it
		return nil, errors.Wrap(err, "handshake")
	}
	return tlsConn, nil
}

// tlsConfig returns nil when there are no keys.
func (d Dialer) tlsConfig(address string) (*tls.Config, error) {
	if d.Keys == nil {
		return nil, nil
	}
	host, ok := d.HostAt(address)
	if !ok {
		return nil, errors.Errorf("no host is listed at %s", address)
	}
	return d.Keys.clientConfig(host), nil
}
