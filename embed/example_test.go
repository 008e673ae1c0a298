package embed_test

import (
	"context"
	"fmt"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/embed"
)

// A program that embeds only the configuration.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := embed.NewMemoryLog()
	cfg := embed.NewConfig(log, cicadaseam.Locality{Deployment: "georgia-east", Zone: "atl-north"})
	go cfg.Run(ctx)

	decision, err := cfg.Publish(ctx, cicadaseam.Change{ID: "first", Edits: []cicadaseam.Edit{
		{Path: "zone:atl-north", Key: "deployment", Value: "georgia-east"},
		{Path: "zone:atl-north", Key: "region", Value: "us-southeast"},
		{Path: "service:status-portal", Key: "owner", Value: "passenger-desk"},
		{Path: "scope:*", Key: "deadline", Value: "2s"},
		{Path: "scope:georgia-east/*/status-portal", Key: "deadline", Value: "800ms"},
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(decision.Verdict, "as version", decision.Version)
	value, scope, _ := cfg.Setting("status-portal", "", "deadline")
	fmt.Println(value, "from", scope)

	rejected, _ := cfg.Publish(ctx, cicadaseam.Change{ID: "second", Base: 1, Edits: []cicadaseam.Edit{
		{Path: "route:status", Key: "prefix", Value: "/status/"},
		{Path: "route:status", Key: "service", Value: "status-portl"},
	}})
	fmt.Println(rejected.Verdict, rejected.Faults[0])
	fmt.Println("still at version", cfg.Version())
	// Output:
	// accepted as version 1
	// 800ms from scope:georgia-east/*/status-portal
	// invalid route:status service: there is no service "status-portl"
	// still at version 1
}
