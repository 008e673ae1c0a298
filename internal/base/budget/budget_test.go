package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const limit = 64 << 20

// Guards against large bodies that together take more than the memory of a process, and against
// one that keeps out the small bodies, or is never served itself.
func TestLargeBodiesAreBoundedTogether(t *testing.T) {
	b := New(limit)
	var first, second, small Reservation
	require.True(t, b.Resize(&small, 4000))
	require.True(t, b.Resize(&first, 60<<20), "the only large one")
	require.False(t, b.Resize(&second, 60<<20))
	require.False(t, b.Resize(&second, SmallBody+1))
	require.True(t, b.Resize(&second, SmallBody))
	b.Release(&first)
	require.True(t, b.Resize(&second, 60<<20), "a body may grow")
	require.False(t, b.Resize(&first, SmallBody+1))
	b.Release(&second)
	require.True(t, b.Resize(&first, 16<<20))
	require.True(t, b.Resize(&second, 16<<20))
	b.Release(&first)
	b.Release(&second)
	b.Release(&second)
	require.Equal(t, int64(4000), b.Used())
}

// Guards against reservations that leak or that exceed what is promised, in any order of calls.
func TestBudgetIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(limit)
		reservations := make([]Reservation, 8)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := &reservations[rapid.IntRange(0, len(reservations)-1).Draw(t, "body")]
			if rapid.Bool().Draw(t, "release") {
				b.Release(r)
			} else {
				b.Resize(r, int64(rapid.IntRange(0, limit).Draw(t, "size")))
			}
			var used, large, bodies int64
			for i := range reservations {
				used += reservations[i].Size()
				if reservations[i].Size() > SmallBody {
					large += reservations[i].Size()
					bodies++
				}
			}
			require.Equal(t, used, b.Used())
			require.True(t, large <= limit/2 || bodies == 1)
		}
	})
}
