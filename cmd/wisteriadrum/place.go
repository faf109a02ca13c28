package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"wisteriadrum/locator"
)

type placeCmd struct {
	Metrics   string   `required:"" help:"Address of the metrics listener of an instance on the platform."`
	Host      string   `required:"" help:"Host of the request."`
	Path      string   `arg:"" help:"Path of the request."`
	Workspace string   `help:"Name of the workspace that sends it."`
	Model     string   `help:"Model of a generation."`
	Prompt    int      `help:"Tokens of the prompt."`
	Output    int      `help:"Maximum number of tokens of the answer."`
	Parts     []string `help:"Parts of the prompt in order, each ID:TOKENS."`
	JSON      bool     `help:"Print JSON."`
}

// Run asks an instance where it would send the request now, and prints the answer.
func (c *placeCmd) Run() error {
	parts, err := locator.ParseParts(strings.Join(c.Parts, ","))
	if err != nil {
		return withStatus(exitUsage, err)
	}
	query := locator.Query{Host: c.Host, Path: c.Path, Workspace: c.Workspace, Model: c.Model, PromptTokens: c.Prompt, OutputTokens: c.Output, Parts: parts}
	if _, err := locator.ParseQuery(query.Values()); err != nil {
		return withStatus(exitUsage, err)
	}
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + c.Metrics + "/placement?" + query.Values().Encode())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := readAnswer(response)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(text)))
	}
	if c.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	var placement locator.Placement
	if err := json.Unmarshal(text, &placement); err != nil {
		return eris.Wrapf(err, "decode the answer of %s", c.Metrics)
	}
	return placement.Write(os.Stdout)
}
