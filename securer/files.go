// Package securer creates TLS configurations from files and reloads the files when
// they are replaced while the process runs.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// reloadInterval is the minimum time between two reads of the files.
const reloadInterval = 5 * time.Second

// Files names the PEM files of a certificate, its key and the certificate authority
// of the peers.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority, if set, requires peers to present a certificate that it signed.
	Authority string `json:"authority,omitempty"`
}

// Set reports whether TLS is configured.
func (f Files) Set() bool { return f.Certificate != "" }

// Check reports each fault of f.
func (f *Files) Check(report func(path, text string)) {
	if (f.Certificate == "") != (f.Key == "") {
		report("key", "certificate and key go together")
	}
	if f.Authority != "" && f.Certificate == "" {
		report("certificate", "is required with an authority")
	}
}

// Server returns the TLS configuration of a listener, or nil if TLS is not
// configured. If an authority is set, clients need a certificate that it signed.
// The error means that the files cannot be loaded.
func (f Files) Server() (*tls.Config, error) {
	if !f.Set() {
		return nil, nil
	}
	loader := &loader{files: f}
	if _, err := loader.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded, err := loader.load()
			if err != nil {
				return nil, err
			}
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{loaded.certificate}}
			if loaded.authority != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = loaded.authority
			}
			return config, nil
		},
	}, nil
}

// Client returns a function that returns the TLS configuration for one connection
// to an instance, or nil if TLS is not configured. The instance must have a valid
// certificate signed by the authority. The name in the certificate is not
// compared, because instances are addressed by IP address only.
func (f Files) Client() (func() (*tls.Config, error), error) {
	if !f.Set() {
		return nil, nil
	}
	loader := &loader{files: f}
	if _, err := loader.load(); err != nil {
		return nil, err
	}
	return func() (*tls.Config, error) {
		loaded, err := loader.load()
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion:         tls.VersionTLS13,
			Certificates:       []tls.Certificate{loaded.certificate},
			InsecureSkipVerify: true, // replaced by verifyPeer, which does not compare names
			VerifyConnection: func(state tls.ConnectionState) error {
				return verifyPeer(state, loaded.authority)
			},
		}, nil
	}, nil
}

// verifyPeer checks the chain and the validity period of the peer's certificate.
func verifyPeer(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// keyMaterial is the parsed content of Files.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// loader reloads the files periodically and keeps the last valid content.
type loader struct {
	files      Files
	mu         sync.Mutex
	current    *keyMaterial
	nextReload time.Time
}

func (l *loader) load() (*keyMaterial, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Before(l.nextReload) {
		return l.current, nil
	}
	l.nextReload = time.Now().Add(reloadInterval)
	fresh, err := l.readFiles()
	if err == nil {
		l.current = fresh
	}
	if l.current == nil {
		l.nextReload = time.Time{}
		return nil, err
	}
	return l.current, nil
}

func (l *loader) readFiles() (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	fresh := &keyMaterial{certificate: certificate}
	if l.files.Authority == "" {
		return fresh, nil
	}
	text, err := os.ReadFile(l.files.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	fresh.authority = x509.NewCertPool()
	if !fresh.authority.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("%s contains no PEM certificate", l.files.Authority)
	}
	return fresh, nil
}
