package peerrpc_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cicadanotch/cicadanotch/adapter/peerrpc"
	"github.com/cicadanotch/cicadanotch/port"
)

// authority signs certificates for hosts.
type authority struct {
	is   *is.I
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{is: is.New(t), dir: t.TempDir()}
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

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// files writes the key pair of a host.
func (a *authority) files(host string) (cert, key, ca string) {
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

func (a *authority) keys(host string) *peerrpc.Keys {
	cert, key, ca := a.files(host)
	keys, err := peerrpc.LoadKeys(cert, key, ca, host)
	a.is.NoErr(err)
	return keys
}

// serve serves a method that tells whether the caller may speak for jos-a-1.
func serve(t *testing.T, keys *peerrpc.Keys) string {
	is := is.New(t)
	server := peerrpc.NewServer()
	server.UseKeys(keys)
	server.Handle("whoami", func(ctx context.Context, _ json.RawMessage) (any, error) {
		return port.PeerMayBe(ctx, "jos-a-1"), nil
	})
	server.Handle("wait", func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = server.Serve(ctx, l) }() // ends with the listener
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		server.Close()
	})
	return l.Addr().String()
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	listed := func(name string) func(string) (string, bool) {
		return func(string) (string, bool) { return name, name != "" }
	}
	for name, tc := range map[string]struct {
		client *peerrpc.Keys
		hostAt func(string) (string, bool)
		err    error
		may    bool
	}{
		"peer":                  {ours.keys("jos-a-1"), listed("jos-a-2"), nil, true},
		"peer, another name":    {ours.keys("jos-a-3"), listed("jos-a-2"), nil, false},
		"wrong host at address": {ours.keys("jos-a-1"), listed("jos-b-9"), port.ErrPeerUnreachable, false},
		"unlisted address":      {ours.keys("jos-a-1"), listed(""), port.ErrPeerUnreachable, false},
		"other authority":       {theirs.keys("jos-a-1"), listed("jos-a-2"), port.ErrPeerUnreachable, false},
		"no keys":               {nil, nil, port.ErrPeerBroken, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, ours.keys("jos-a-2"))
			var opts []peerrpc.ClientOption
			if tc.client != nil {
				opts = append(opts, peerrpc.WithKeys(tc.client, tc.hostAt))
			}
			client := peerrpc.NewClient(nil, opts...)
			defer client.Close()
			var may bool
			err := client.Call(t.Context(), address, "whoami", nil, &may)
			is.True(errors.Is(err, tc.err))
			is.Equal(may, tc.may)
		})
	}
}

func TestKeysMustCarryTheHostsName(t *testing.T) {
	is := is.New(t)
	cert, key, ca := newAuthority(t).files("jos-a-1")
	_, err := peerrpc.LoadKeys(cert, key, ca, "jos-a-2")
	is.True(errors.Is(err, peerrpc.ErrKeys))
	_, err = peerrpc.LoadKeys(cert, key, key, "jos-a-1") // no authority in the file
	is.True(errors.Is(err, peerrpc.ErrKeys))
}

func TestBadMessages(t *testing.T) {
	for name, sent := range map[string]string{
		"too large":    fmt.Sprintf("Content-Length: %d\r\n\r\n", peerrpc.MaxMessage+1),
		"no number":    "Content-Length: x\r\n\r\n",
		"negative":     "Content-Length: -1\r\n\r\n",
		"no header":    "{\"jsonrpc\":\"2.0\",\"method\":\"whoami\",\"id\":1}\r\n\r\n",
		"long header":  "Content-Length: " + string(bytes.Repeat([]byte("0"), 200)),
		"other header": "Content-Type: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", serve(t, nil))
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte(sent))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
			_, err = io.ReadAll(conn)
			is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the server closed it
		})
	}
}

// TestCallThatTimesOutLeavesOthersAlone shares a connection between a call
// that nobody answers and others that are answered.
func TestCallThatTimesOutLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	dials := 0
	client := peerrpc.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	defer client.Close()
	address := serve(t, nil)
	var may bool
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &may))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	ended := make(chan error)
	go func() { ended <- client.Call(ctx, address, "wait", nil, nil) }()
	for ctx.Err() == nil {
		is.NoErr(client.Call(t.Context(), address, "whoami", nil, &may))
	}
	is.True(errors.Is(<-ended, port.ErrPeerBroken))
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &may))
	is.Equal(dials, 1)
}

// TestSilentConnectionIsReplaced makes an open connection silent for good; a
// call with no deadline must end and the next must go over a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	address := serve(t, nil)
	var first *mutable
	client := peerrpc.NewClient(func(ctx context.Context, network, at string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, at)
		if first == nil && err == nil {
			first = &mutable{Conn: conn, mute: make(chan struct{}), gone: make(chan struct{})}
			return first, nil
		}
		return conn, err
	})
	defer client.Close()
	var may bool
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &may))
	close(first.mute)
	is.True(errors.Is(client.Call(t.Context(), address, "whoami", nil, &may), port.ErrPeerBroken))
	is.NoErr(client.Call(t.Context(), address, "whoami", nil, &may))
}

// mutable is a connection that loses what arrives once it is mute.
type mutable struct {
	net.Conn
	mute, gone chan struct{}
}

func (m *mutable) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	select {
	case <-m.mute:
		if err == nil {
			<-m.gone
		}
	default:
	}
	return n, err
}

func (m *mutable) Close() error {
	close(m.gone)
	return m.Conn.Close()
}
