package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"wisteriadrum/cataloguer"
	"wisteriadrum/configurer"
)

const requestTimeout = 30 * time.Second

type checkCmd struct {
	File     string `arg:"" help:"File to validate, JSON with comments."`
	Settings bool   `help:"Validate the settings of an instance instead of a configuration."`
}

// Run validates the file and returns an error that lists all errors in it.
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
		return withStatus(exitInvalid, fmt.Errorf("%s:\n%w", c.File, err))
	}
	_, err = fmt.Println(c.File, "is valid")
	return err
}

// operatorTarget is the operator listener that a command connects to.
type operatorTarget struct {
	Operator string `default:"127.0.0.1:8081" help:"Address of an instance's operator listener."`
	Key      string `env:"WISTERIADRUM_KEY" help:"Operator key."`
	CA       string `help:"PEM file of the authority that signed the listener's certificate; enables TLS."`
}

type publishCmd struct {
	operatorTarget
	File string `arg:"" help:"Configuration to publish."`
	Base string `help:"Number of the configuration that the new one is based on; by default the one in force."`
}

// Run publishes the configuration and prints its number and the number of
// instances in which it is in force.
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
	operatorTarget
	Name string `arg:"" help:"Name of an endpoint or instance."`
	End  bool   `help:"End the draining."`
}

// Run starts or ends the draining of an endpoint or instance.
func (c *stopCmd) Run() error {
	path := "/stop?"
	if c.End {
		path = "/unstop?"
	}
	return c.call(http.MethodPost, path+url.Values{"name": {c.Name}}.Encode(), nil)
}

type statusCmd struct {
	operatorTarget
}

// Run prints the status of an instance as JSON.
func (c *statusCmd) Run() error { return c.call(http.MethodGet, "/status", nil) }

func (t *operatorTarget) call(method, path string, body []byte) error {
	scheme, client, err := t.client()
	if err != nil {
		return withStatus(exitUsage, err)
	}
	request, err := http.NewRequest(method, scheme+t.Operator+path, bytes.NewReader(body))
	if err != nil {
		return withStatus(exitUsage, err)
	}
	if t.Key != "" {
		request.Header.Set("Authorization", "Bearer "+t.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := readAnswer(response)
	if err != nil {
		return err
	}
	return reportResponse(response.StatusCode, text)
}

// client returns the URL scheme and the HTTP client for the listener.
func (t *operatorTarget) client() (string, *http.Client, error) {
	if t.CA == "" {
		return "http://", &http.Client{Timeout: requestTimeout}, nil
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return "", nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return "", nil, fmt.Errorf("%s contains no PEM certificate", t.CA)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	return "https://", &http.Client{Timeout: requestTimeout, Transport: transport}, nil
}

// reportResponse prints a successful response, or returns an error with the
// exit status for its HTTP status.
func reportResponse(status int, text []byte) error {
	err := errors.New(string(bytes.TrimSpace(text)))
	switch status {
	case http.StatusOK:
		_, err := os.Stdout.Write(text)
		return err
	case http.StatusUnprocessableEntity:
		return withStatus(exitInvalid, err)
	case http.StatusConflict:
		return withStatus(exitConflict, err)
	case http.StatusServiceUnavailable:
		return withStatus(exitPlatform, err)
	default:
		return err
	}
}
