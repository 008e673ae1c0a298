package dispatch

const (
	// sameZoneSample and otherZoneSample are the numbers of targets, of this zone and of the
	// others, among which the best one is selected. If all nodes chose among all targets,
	// they would all send to the same few, whose loads look best until the next report.
	sameZoneSample  = 6
	otherZoneSample = 3
)

// sampling decides at random which candidates are compared.
type sampling struct {
	selector                       *Selector
	sameZoneShare, otherZonesShare float64
}

// sampling returns the sampling of candidates. The lock is held.
func (s *Selector) sampling(candidates []Candidate) sampling {
	sameZone := 0
	for i := range candidates {
		if candidates[i].Zone == s.zone {
			sameZone++
		}
	}
	return sampling{s, float64(sameZoneSample) / float64(max(sameZone, 1)), float64(otherZoneSample) / float64(max(len(candidates)-sameZone, 1))}
}

func (x *sampling) isAll() bool { return x.sameZoneShare >= 1 && x.otherZonesShare >= 1 }

func (x *sampling) includes(c *Candidate) bool {
	share := x.otherZonesShare
	if c.Zone == x.selector.zone {
		share = x.sameZoneShare
	}
	return share >= 1 || x.selector.rng.Float64() < share
}
