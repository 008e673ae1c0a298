// Command membership embeds the membership: three members find each other, and one leaves.
package main

import (
	"context"
	"fmt"
	"log"
	"time"

	"github.com/cicadaseam/cicadaseam"
	"github.com/cicadaseam/cicadaseam/embed"
)

func main() {
	const first = "127.0.0.1:7701"
	var members []*embed.Membership
	var leave context.CancelFunc
	for i := range 3 {
		m, err := embed.NewMembership(fmt.Sprint("node-", i), fmt.Sprint("127.0.0.1:", 7701+i), cicadaseam.Locality{Zone: "atl-north"})
		if err != nil {
			log.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		leave = cancel
		go m.Run(ctx)
		if err := m.Join(ctx, first); i > 0 && err != nil {
			log.Fatal(err)
		}
		members = append(members, m)
	}
	for want := 3; want >= 2; want-- {
		for changed := members[0].Changed(); len(members[0].Live("")) != want; changed = members[0].Changed() {
			select {
			case <-changed:
			case <-time.After(5 * time.Second):
				log.Fatal("the members do not agree")
			}
		}
		fmt.Println(want, "live members")
		leave()
	}
}
