package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"

	"wisteriadrum/demonstrator"
)

type demoCmd struct {
	JSON bool   `name:"json" help:"Print the measurements as JSON."`
	Seed uint64 `default:"1" help:"Seed of the random number generator."`
}

// Run runs the demo. It fails if an answer was wrong or truncated, or if the
// booking did not run exactly once.
func (c *demoCmd) Run() error {
	results, err := demonstrator.Run(context.Background(), c.Seed)
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(results); err != nil {
			return err
		}
	} else {
		printResults(results)
	}
	if err != nil {
		return withStatus(exitDemo, err)
	}
	return nil
}

func printResults(results []demonstrator.Result) {
	fmt.Println(demonstrator.TableHeader)
	for _, result := range results {
		fmt.Println(result)
	}
	for _, result := range results {
		fmt.Printf("\n%s, by reason:\n", result.Deployment)
		names := make([]string, 0, len(result.Counters))
		for name := range result.Counters {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Printf("  %-36s %d\n", name, result.Counters[name])
		}
	}
}
