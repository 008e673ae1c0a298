// Command config embeds the configuration: it publishes two changes and reads a setting.
package main

import (
	"context"
	"fmt"
	"log"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/embed"
)

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg := embed.NewConfig(embed.NewMemoryLog(), cicadaseam.Locality{Deployment: "georgia-east", Zone: "atl-north"})
	go cfg.Run(ctx)
	for _, edits := range [][]cicadaseam.Edit{
		{
			{Path: "zone:atl-north", Key: "deployment", Value: "georgia-east"},
			{Path: "zone:atl-north", Key: "region", Value: "us-southeast"},
			{Path: "service:status-portal", Key: "owner", Value: "passenger-desk"},
			{Path: "scope:*", Key: "deadline", Value: "2s"},
		},
		{{Path: "scope:georgia-east/*/status-portal", Key: "deadline", Value: "800ms"}},
	} {
		decision, err := cfg.Publish(ctx, cicadaseam.Change{ID: fmt.Sprint("change-", cfg.Version()), Base: cfg.Version(), Edits: edits})
		if err != nil {
			log.Fatal(err)
		}
		value, scope, _ := cfg.Setting("status-portal", "", "deadline")
		fmt.Printf("version %d %s: deadline %s from %s\n", decision.Version, decision.Verdict, value, scope)
	}
}
