// Package keystest makes keys of hosts for tests.
package keystest

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
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
)

// Authority is a certificate authority that signs certificates for hosts.
type Authority struct {
	is   *is.I
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority whose files are removed with the test.
func NewAuthority(t testing.TB) *Authority {
	a := &Authority{is: is.New(t), dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	a.is.NoErr(err)
	a.cert, err = x509.ParseCertificate(der)
	a.is.NoErr(err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	return key
}

func (a *Authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// WriteKeyPair writes the key pair of a host and returns the paths of the files.
func (a *Authority) WriteKeyPair(host string) (cert, key, ca string) {
	k := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{host},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	a.is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	a.is.NoErr(err)
	return a.write(host+".pem", "CERTIFICATE", der), a.write(host+".key", "PRIVATE KEY", keyDER), filepath.Join(a.dir, "ca.pem")
}

// Keys returns the loaded keys of a host.
func (a *Authority) Keys(host string) *peerrpc.Keys {
	cert, key, ca := a.WriteKeyPair(host)
	keys, err := peerrpc.LoadKeys(cert, key, ca, host)
	a.is.NoErr(err)
	return keys
}
