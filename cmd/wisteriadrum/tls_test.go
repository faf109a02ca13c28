package main_test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriadrum/certifier"
	"wisteriadrum/configurer"
	"wisteriadrum/launcher"
	"wisteriadrum/securer"
)

const minimalConfig = `{
	"data_centres":[{"name":"a"}],
	"workspaces":[{"name":"w","key":"d5ead6fdd3d16630aad4f07f5e49486337a42e58fb4eef0deaabb814c003b134"}]}`

// With TLS on all three listeners, two instances must exchange the
// configuration, serve callers and operators' tools, and refuse a wrong operator
// key.
func TestTLSEverywhere(t *testing.T) {
	folder := t.TempDir()
	authority, err := certifier.New(folder)
	assert.NilError(t, err)
	member, err := authority.Issue("member", time.Now().Add(time.Hour))
	assert.NilError(t, err)
	open := securer.Files{Certificate: member.Certificate, Key: member.Key}
	platform := launcher.FreeAddress()
	startProgram(t, "standin", "platform", "--listen", platform, "--pace", "0")
	var all []configurer.Settings
	for _, name := range []string{"one", "two"} {
		settings := configurer.Settings{
			Name: name, DataCentre: "a", CallerAddress: launcher.FreeAddress(), OperatorAddress: launcher.FreeAddress(), PeerAddress: launcher.FreeAddress(),
			TableAddress: platform, ObjectStoreAddress: platform, InstanceListAddress: platform, OperatorKeyHash: "d5ead6fdd3d16630aad4f07f5e49486337a42e58fb4eef0deaabb814c003b134",
			CallerTLS: open, OperatorTLS: open, PeerTLS: member,
		}
		for _, other := range all {
			settings.SeedPeers = append(settings.SeedPeers, other.PeerAddress)
		}
		text, err := json.Marshal(settings)
		assert.NilError(t, err)
		file := filepath.Join(folder, name+".json")
		assert.NilError(t, os.WriteFile(file, text, 0o600))
		startProgram(t, "wisteriadrum", "serve", file)
		all = append(all, settings)
	}
	config := filepath.Join(folder, "set.json")
	assert.NilError(t, os.WriteFile(config, []byte(minimalConfig), 0o600))
	publish := func(key string) (string, error) {
		command := exec.Command(filepath.Join(binaries, "wisteriadrum"), "publish", "--operator", all[0].OperatorAddress, "--ca", authority.Path("authority"), "--key", key, config)
		output, err := command.CombinedOutput()
		return string(output), err
	}
	var output string
	waitFor(t, func() bool {
		output, err = publish("key-0")
		return err == nil
	})
	assert.Assert(t, strings.Contains(output, `"number":1`), output)
	output, err = publish("wrong")
	assert.Assert(t, err != nil && strings.Contains(output, "operator key"), output)

	text, err := os.ReadFile(authority.Path("authority"))
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(text))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	waitFor(t, func() bool { // the configuration has reached the other instance
		request, err := http.NewRequest(http.MethodGet, "https://"+all[1].CallerAddress+"/nowhere", nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer key-0")
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusNotFound
	})
}
