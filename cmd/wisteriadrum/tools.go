package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"wisteriadrum/cataloguer"
	"wisteriadrum/configurer"
)

const callTimeout = 30 * time.Second

type checkCmd struct {
	File     string `arg:"" help:"File to check, JSON with comments."`
	Settings bool   `help:"The file holds an instance's settings, not a set."`
}

// Run lists every fault of the file.
func (c *checkCmd) Run() error {
	source, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.Settings {
		_, err = configurer.New(source)
	} else {
		_, err = cataloguer.New(source)
	}
	if err != nil {
		return fail(exitInvalid, fmt.Errorf("%s:\n%w", c.File, err))
	}
	_, err = fmt.Println(c.File, "is valid")
	return err
}

// target is the operator listener that a command talks to.
type target struct {
	Operator string `default:"127.0.0.1:8081" help:"Address of an instance's operator listener."`
	Key      string `env:"WISTERIADRUM_KEY" help:"Operator key."`
	CA       string `help:"File of the authority of the listener's certificate, in PEM form; the listener has TLS."`
}

type publishCmd struct {
	target
	File string `arg:"" help:"Set to publish."`
	Base string `help:"Number of the configuration that the set was made from; without it, whatever is in force."`
}

// Run publishes the set and prints its number and in how many instances it is in force.
func (c *publishCmd) Run() error {
	source, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	query := url.Values{}
	if c.Base != "" {
		query.Set("base", c.Base)
	}
	return c.call(http.MethodPost, "/publish?"+query.Encode(), source)
}

type stopCmd struct {
	target
	Name string `arg:"" help:"Endpoint or instance."`
	End  bool   `help:"End the stop."`
}

// Run plans or ends a stop.
func (c *stopCmd) Run() error {
	path := "/stop?"
	if c.End {
		path = "/unstop?"
	}
	return c.call(http.MethodPost, path+url.Values{"name": {c.Name}}.Encode(), nil)
}

type statusCmd struct {
	target
}

// Run prints the status of an instance as JSON.
func (c *statusCmd) Run() error { return c.call(http.MethodGet, "/status", nil) }

func (t *target) call(method, path string, body []byte) error {
	scheme, client, err := t.client()
	if err != nil {
		return fail(exitUsage, err)
	}
	request, err := http.NewRequest(method, scheme+t.Operator+path, bytes.NewReader(body))
	if err != nil {
		return fail(exitUsage, err)
	}
	if t.Key != "" {
		request.Header.Set("Authorization", "Bearer "+t.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return judge(response.StatusCode, text)
}

// client returns the scheme and client to call the listener with.
func (t *target) client() (string, *http.Client, error) {
	if t.CA == "" {
		return "http://", &http.Client{Timeout: callTimeout}, nil
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return "", nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return "", nil, fmt.Errorf("%s holds no certificate", t.CA)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return "https://", &http.Client{Timeout: callTimeout, Transport: transport}, nil
}

// judge prints an answer or turns it into the failure that it is.
func judge(status int, text []byte) error {
	err := errors.New(string(bytes.TrimSpace(text)))
	switch status {
	case http.StatusOK:
		_, err := os.Stdout.Write(text)
		return err
	case http.StatusUnprocessableEntity:
		return fail(exitInvalid, err)
	case http.StatusConflict:
		return fail(exitConflict, err)
	case http.StatusServiceUnavailable:
		return fail(exitPlatform, err)
	default:
		return err
	}
}
