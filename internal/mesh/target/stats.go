package target

import (
	"math"
	"time"
)

const (
	// thousand is the unit of shares.
	thousand = 1000
	// paceShare is the weight of a new sample of the pace.
	paceShare = 0.05
	// usualPace is the pace before any sample.
	usualPace = 0.33
	// coldFactor is how much slower a backend server without samples is taken to be
	// while it is cold.
	coldFactor = 2.0
	failShare  = 0.1
	// fewSamples is the number of samples below which the pace decides nothing.
	fewSamples = 20
	// failFade is the time in which the memory of failures halves.
	failFade = 2 * time.Second
)

// stats is what a target learned about its backend server.
type stats struct {
	pace    float64 // mean share of the objective that a request takes
	samples int
	failing float64
	at      time.Time
}

func (s *stats) ran(now time.Time, took, objective time.Duration) {
	s.fade(now)
	s.failing *= 1 - failShare
	if objective <= 0 {
		return
	}
	x := float64(took) / float64(objective)
	if s.samples == 0 {
		s.pace = x
	}
	s.samples++
	s.pace += max(paceShare, 1/float64(s.samples)) * (x - s.pace)
}

func (s *stats) failed(now time.Time) {
	s.fade(now)
	s.failing += failShare * (1 - s.failing)
}

func (s *stats) fade(now time.Time) {
	if !s.at.IsZero() {
		s.failing *= math.Exp2(-float64(now.Sub(s.at)) / float64(failFade))
	}
	s.at = now
}

func (s *stats) paceNow(now, coldUntil time.Time) int {
	pace := s.pace
	if s.samples == 0 {
		pace = usualPace
		if now.Before(coldUntil) {
			pace *= coldFactor
		}
	}
	return int(thousand * pace)
}

func (s *stats) failingNow(now time.Time) int {
	s.fade(now)
	return int(thousand * s.failing)
}
