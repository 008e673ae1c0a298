// Command admission embeds the admission control of one backend server: ten requests for two slots
// and a rate limit, of which some are refused at once.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadaseam/cicadaseam/embed"
)

func main() {
	admission := embed.NewAdmission(2)
	admission.SetRate(50)
	var mu sync.Mutex
	counts := map[string]int{}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			release, err := admission.Acquire(context.Background(), embed.Request{Priority: i % 2, Deadline: time.Now().Add(time.Second), MaxWait: 250 * time.Millisecond})
			var refused *embed.RefusedError
			result := "ran"
			if errors.As(err, &refused) {
				result = string(refused.Reason)
			} else {
				time.Sleep(100 * time.Millisecond)
				release()
			}
			mu.Lock()
			defer mu.Unlock()
			counts[result]++
		})
	}
	wg.Wait()
	fmt.Println(counts)
}
