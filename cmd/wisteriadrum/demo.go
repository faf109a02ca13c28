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
	JSON bool   `name:"json" help:"Print the measures as JSON."`
	Seed uint64 `default:"1" help:"Seed of the traffic."`
}

// Run runs the demo and fails if any answer was wrong, cut or ran twice.
func (c *demoCmd) Run() error {
	results, err := demonstrator.Run(context.Background(), c.Seed)
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(results); err != nil {
			return err
		}
	} else {
		show(results)
	}
	if err != nil {
		return fail(exitUnproved, err)
	}
	return nil
}

func show(results []demonstrator.Result) {
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
