package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cicadaseam/cicadaseam"
)

// Random is a baseline that picks each candidate with the same probability.
type Random struct {
	rng *rand.Rand
}

// NewRandom returns a Random.
func NewRandom(rng *rand.Rand) *Random { return &Random{rng: rng} }

// Pick implements cicadaseam.Picker.
func (r *Random) Pick(_ time.Time, candidates []cicadaseam.Candidate, _ map[string]bool) int {
	if len(candidates) == 0 {
		return -1
	}
	return r.rng.IntN(len(candidates))
}

// Started implements cicadaseam.Picker.
func (r *Random) Started(time.Time, string) {}

// Ended implements cicadaseam.Picker.
func (r *Random) Ended(time.Time, string, cicadaseam.PickResult) {}

// RoundRobin is a baseline that picks the candidates in turn.
type RoundRobin struct {
	next int
}

// NewRoundRobin returns a RoundRobin.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Pick implements cicadaseam.Picker.
func (r *RoundRobin) Pick(_ time.Time, candidates []cicadaseam.Candidate, _ map[string]bool) int {
	if len(candidates) == 0 {
		return -1
	}
	r.next++
	return r.next % len(candidates)
}

// Started implements cicadaseam.Picker.
func (r *RoundRobin) Started(time.Time, string) {}

// Ended implements cicadaseam.Picker.
func (r *RoundRobin) Ended(time.Time, string, cicadaseam.PickResult) {}
