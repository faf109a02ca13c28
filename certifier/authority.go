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

const lifetime = time.Hour

// Authority signs certificates and writes them to a folder.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
}

// New returns an authority whose own certificate is in folder.
func New(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-lifetime), NotAfter: time.Now().Add(lifetime), KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign the authority")
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, eris.Wrap(err, "read the authority")
	}
	a := &Authority{certificate: certificate, key: key, folder: folder}
	return a, a.write("authority", "CERTIFICATE", encoded)
}

// Path returns the file of a certificate.
func (a *Authority) Path(name string) string { return filepath.Join(a.folder, name+".pem") }

// Issue writes a certificate for loopback that ends at the given time.
func (a *Authority) Issue(name string, ends time.Time) (securer.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return securer.Files{}, eris.Wrap(err, "make a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-2 * lifetime), NotAfter: ends,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return securer.Files{}, eris.Wrap(err, "sign")
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return securer.Files{}, eris.Wrap(err, "encode the key")
	}
	if err := a.write(name, "CERTIFICATE", encoded); err != nil {
		return securer.Files{}, err
	}
	files := securer.Files{Certificate: a.Path(name), Key: a.Path(name + "-key"), Authority: a.Path("authority")}
	return files, a.write(name+"-key", "EC PRIVATE KEY", private)
}

func (a *Authority) write(name, kind string, body []byte) error {
	const readable = 0o600
	return eris.Wrap(os.WriteFile(a.Path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), readable), "write a certificate")
}
