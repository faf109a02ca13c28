// Package securer makes TLS configurations from files that may be replaced
// while the process runs.
package securer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// reloadEvery is how old a loaded file may get before it is read again.
const reloadEvery = 5 * time.Second

// Files names the files of a certificate, its key and the authority that
// signs the certificates of the other side. All are in PEM form.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority, where it is set, demands a certificate of the other side.
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

// Server returns the configuration of a listener, nil if TLS is not
// configured. It refuses peers without a valid certificate of the authority.
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

// Client returns a function that gives the configuration for one connection
// to an instance, nil if TLS is not configured. The other side must have a
// valid certificate of the authority; its name is not compared, because
// instances are known by IP number only.
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
			InsecureSkipVerify: true, // verify replaces it
			VerifyConnection: func(state tls.ConnectionState) error {
				return verify(state, loaded.authority)
			},
		}, nil
	}, nil
}

// verify checks the chain and the dates of the other side's certificate.
func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// loader reads the files again once in a while and keeps the last good ones.
type loader struct {
	files  Files
	mu     sync.Mutex
	loaded *material
	readBy time.Time
}

func (l *loader) load() (*material, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Before(l.readBy) {
		return l.loaded, nil
	}
	l.readBy = time.Now().Add(reloadEvery)
	fresh, err := l.read()
	if err == nil {
		l.loaded = fresh
	}
	if l.loaded == nil {
		l.readBy = time.Time{}
		return nil, err
	}
	return l.loaded, nil
}

func (l *loader) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(l.files.Certificate, l.files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	fresh := &material{certificate: certificate}
	if l.files.Authority == "" {
		return fresh, nil
	}
	text, err := os.ReadFile(l.files.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	fresh.authority = x509.NewCertPool()
	if !fresh.authority.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("%s holds no certificate", l.files.Authority)
	}
	return fresh, nil
}
