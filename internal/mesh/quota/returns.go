package quota

import "slices"

// maxPeaks bounds the peaks that a bucket remembers.
const maxPeaks = 32

// peak is the level of a bucket when the token with a number had been taken and the next had not.
type peak struct {
	taken uint32
	level float64
}

// peaks holds the highest levels of a bucket since each of its tokens was taken, oldest first and
// with falling levels. Where there are too many, neighbours are merged to the higher level.
type peaks []peak

func (p *peaks) observe(taken uint32, level float64) {
	for n := len(*p); n > 0 && (*p)[n-1].level <= level; n-- {
		*p = (*p)[:n-1]
	}
	*p = append(*p, peak{taken, level})
	if len(*p) <= maxPeaks {
		return
	}
	merged := (*p)[:0]
	for i := 0; i < len(*p)-1; i += 2 {
		merged = append(merged, peak{(*p)[i+1].taken, (*p)[i].level})
	}
	if len(*p)%2 == 1 {
		merged = append(merged, (*p)[len(*p)-1])
	}
	*p = merged
}

// giveBack returns the token with a number. Without its taking, the bucket would have held one more
// since, and what exceeds its capacity at the highest level since would have been lost.
func (b *bucket) giveBack(taken uint32) {
	if since := b.taken - taken; since > maxTokenAge {
		return // of another bucket
	}
	first := slices.IndexFunc(b.peaks, func(p peak) bool { return int32(p.taken-taken) >= 0 })
	highest := b.level
	if first >= 0 {
		highest = max(highest, b.peaks[first].level)
	} else {
		first = len(b.peaks)
	}
	credit := min(max(b.capacity-highest, 0), 1)
	b.level += credit
	for i := first; i < len(b.peaks); i++ {
		b.peaks[i].level += credit
	}
	if first > 0 && first < len(b.peaks) { // older peaks that are no longer higher
		keep := first
		for keep > 0 && b.peaks[keep-1].level <= b.peaks[first].level {
			keep--
		}
		b.peaks = slices.Delete(b.peaks, keep, first)
	}
}

const (
	// maxTokenAge bounds the tokens taken after one that is returned. Numbers begin at a random
	// one, so that those of another bucket are rarely within it.
	maxTokenAge = 1 << 20
	// maxReturned bounds the returned tokens in one message, and maxPendingReturn those that wait to be
	// returned.
	maxReturned      = 64
	maxPendingReturn = 256
)
