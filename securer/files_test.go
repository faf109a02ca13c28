package securer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/securer"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{folder: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(encoded)
	assert.NilError(t, err)
	write(t, a.path("authority"), "CERTIFICATE", encoded)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.folder, name+".pem") }

// issue writes a certificate that ends at the given time.
func (a *authority) issue(t *testing.T, name string, ends time.Time) securer.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: ends}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	write(t, a.path(name), "CERTIFICATE", encoded)
	write(t, a.path(name+"-key"), "EC PRIVATE KEY", private)
	return securer.Files{Certificate: a.path(name), Key: a.path(name + "-key"), Authority: a.path("authority")}
}

func write(t *testing.T, path, kind string, body []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600))
}

// greet connects with client and reports whether server answers.
func greet(t *testing.T, server *tls.Config, client *tls.Config) error {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := tls.NewListener(raw, server)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Write([]byte("hello"))
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", raw.Addr().String(), client)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 5))
	return err
}

func client(t *testing.T, files securer.Files) *tls.Config {
	t.Helper()
	configure, err := files.Client()
	assert.NilError(t, err)
	config, err := configure()
	assert.NilError(t, err)
	return config
}

// Strangers and holders of expired or foreign certificates are refused, on
// both sides; a member is let in.
func TestStrangersAreRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	member := ours.issue(t, "member", hour)
	server, err := member.Server()
	assert.NilError(t, err)
	assert.NilError(t, greet(t, server, client(t, ours.issue(t, "other", hour))))
	assert.Assert(t, greet(t, server, &tls.Config{InsecureSkipVerify: true}) != nil, "a stranger")
	assert.Assert(t, greet(t, server, client(t, ours.issue(t, "expired", time.Now().Add(-time.Hour)))) != nil, "an expired certificate")
	foreign := theirs.issue(t, "foreign", hour)
	foreign.Authority = ours.path("authority")
	assert.Assert(t, greet(t, server, client(t, foreign)) != nil, "a foreign certificate")

	for name, files := range map[string]securer.Files{"expired": ours.issue(t, "old", time.Now().Add(-time.Hour)), "foreign": theirs.issue(t, "foreign-server", hour)} {
		files.Authority = ""
		fake, err := files.Server()
		assert.NilError(t, err)
		assert.Assert(t, greet(t, fake, client(t, member)) != nil, "a server with a %s certificate", name)
	}
}
