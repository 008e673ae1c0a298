package dispatch

const (
	// sameZoneSample and otherZoneSample are the numbers of targets, of this zone and of the
	// others, among which the best one is selected. If all nodes chose among all targets,
	// they would all send to the same few, whose loads look best until the next report. With
	// larger samples, more nodes select the same target; with smaller ones, more requests go to
	// other zones and to slow servers (docs/design/fairness.md).
	sameZoneSample  = 3
	otherZoneSample = 1
)

// sampling decides at random which candidates are compared: a number of each of two groups,
// by selection sampling (Knuth, The Art of Computer Programming, vol. 2, 3.4.2, algorithm S).
type sampling struct {
	selector             *Selector
	sameZone, otherZones sampleGroup
	isAll                bool
}

// sampleGroup is the state of the sampling of one group.
type sampleGroup struct {
	needed int // candidates that are still to be included
	left   int // candidates that are still to be looked at
}

// sampling returns the sampling of candidates. The lock is held.
func (s *Selector) sampling(candidates []Candidate) sampling {
	sameZone := 0
	for i := range candidates {
		if candidates[i].Zone == s.zone {
			sameZone++
		}
	}
	x := sampling{selector: s, sameZone: sampleGroup{min(sameZoneSample, sameZone), sameZone}}
	// What the own zone lacks comes from the others.
	x.otherZones = sampleGroup{otherZoneSample + sameZoneSample - x.sameZone.needed, len(candidates) - sameZone}
	x.isAll = x.sameZone.needed >= sameZone && x.otherZones.needed >= x.otherZones.left
	return x
}

// includes reports whether a candidate is compared. It must be called once for each, in any order.
func (x *sampling) includes(c *Candidate) bool {
	g := &x.otherZones
	if c.Zone == x.selector.zone {
		g = &x.sameZone
	}
	included := g.needed >= g.left || x.selector.rng.IntN(g.left) < g.needed
	g.left--
	if included {
		g.needed--
	}
	return included
}
