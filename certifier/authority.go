// Package certifier issues certificates for tests.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"wisteriadrum/securer"
)

const validity = time.Hour

// Authority is a certificate authority that writes the certificates and keys it
// issues to a directory as PEM files.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	directory   string
}

// New creates an authority with a new key and writes its certificate to directory.
func New(directory string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, eris.Wrap(err, "parse the authority's certificate")
	}
	a := &Authority{certificate: certificate, key: key, directory: directory}
	return a, a.writePEM("authority", "CERTIFICATE", encoded)
}

// Path returns the path of the PEM file with the given name.
func (a *Authority) Path(name string) string { return filepath.Join(a.directory, name+".pem") }

// Issue writes a certificate for 127.0.0.1 that expires at the given time, and its
// key. It returns their paths and that of the authority's certificate.
func (a *Authority) Issue(name string, expires time.Time) (securer.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return securer.Files{}, eris.Wrap(err, "generate a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-2 * validity), NotAfter: expires,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return securer.Files{}, eris.Wrap(err, "sign")
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return securer.Files{}, eris.Wrap(err, "encode the key")
	}
	if err := a.writePEM(name, "CERTIFICATE", encoded); err != nil {
		return securer.Files{}, err
	}
	files := securer.Files{Certificate: a.Path(name), Key: a.Path(name + "-key"), Authority: a.Path("authority")}
	return files, a.writePEM(name+"-key", "EC PRIVATE KEY", private)
}

func (a *Authority) writePEM(name, kind string, body []byte) error {
	const mode = 0o600
	return eris.Wrap(os.WriteFile(a.Path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), mode), "write a PEM file")
}
