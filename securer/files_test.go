package securer_test

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/certifier"
	"wisteriadrum/securer"
)

func newAuthority(t *testing.T) *certifier.Authority {
	t.Helper()
	a, err := certifier.New(t.TempDir())
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *certifier.Authority, name string, ends time.Time) securer.Files {
	t.Helper()
	files, err := a.Issue(name, ends)
	assert.NilError(t, err)
	return files
}

// handshake connects with client and returns an error unless server completes
// the handshake and answers.
func handshake(t *testing.T, server *tls.Config, client *tls.Config) error {
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

// Guards against accepting a peer whose certificate is missing, expired or signed by
// another authority, on the server and on the client side.
func TestStrangersAreRefused(t *testing.T) {
	ownAuthority, otherAuthority := newAuthority(t), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	member := issue(t, ownAuthority, "member", hour)
	server, err := member.Server()
	assert.NilError(t, err)
	assert.NilError(t, handshake(t, server, client(t, issue(t, ownAuthority, "other", hour))))
	assert.Assert(t, handshake(t, server, &tls.Config{InsecureSkipVerify: true}) != nil, "no client certificate")
	assert.Assert(t, handshake(t, server, client(t, issue(t, ownAuthority, "expired", time.Now().Add(-time.Hour)))) != nil, "an expired client certificate")
	foreign := issue(t, otherAuthority, "foreign", hour)
	foreign.Authority = ownAuthority.Path("authority")
	assert.Assert(t, handshake(t, server, client(t, foreign)) != nil, "a client certificate of another authority")

	for name, files := range map[string]securer.Files{"expired": issue(t, ownAuthority, "old", time.Now().Add(-time.Hour)), "foreign": issue(t, otherAuthority, "foreign-server", hour)} {
		files.Authority = ""
		impostor, err := files.Server()
		assert.NilError(t, err)
		assert.Assert(t, handshake(t, impostor, client(t, member)) != nil, "a server with a %s certificate", name)
	}
}
