// This file counts the places of the replicas of a coordinator: how many there are, which are occupied or closed, and how fast
// they become free.

package admission

import (
	"math"
	"slices"
	"time"
)

// hasFree reports whether there is a free place.
func (c *Coordinator) hasFree(now time.Time) bool {
	return !c.isPaused(now) && c.occupied() < c.places() &&
		slices.ContainsFunc(c.replicas, func(r *replica) bool { return c.isOpen(r, now) })
}

// isOpen reports whether a replica has a free place and may get a permit.
func (c *Coordinator) isOpen(r *replica, now time.Time) bool {
	return r.requests() < c.windowOf(r, now) && !(r.failures > 0 && r.permits > 0) && !now.Before(r.closedUntil)
}

// isPaused reports whether no permit is granted for a while.
func (c *Coordinator) isPaused(now time.Time) bool {
	return now.Before(c.paused) || now.Before(c.takeover.until) || now.Before(c.strict.learningUntil)
}

// requests returns the number of requests at a replica.
func (r *replica) requests() int {
	return r.permits + r.unpermitted + len(r.lingering) + len(r.presumed)
}

// placesAt returns the number of places of a replica.
func (c *Coordinator) placesAt(r *replica) int {
	if c.strict.on {
		return max(1, r.Slots)
	}
	return max(0, r.Slots) + extraPlaces
}

// placesOf returns the number of places of a replica that this coordinator may grant.
func (c *Coordinator) placesOf(r *replica) int {
	return int(math.Ceil(c.share*float64(c.placesAt(r)) - rounding))
}

// places returns the number of places that this coordinator may grant.
func (c *Coordinator) places() int {
	if len(c.replicas) == 0 || c.share == 0 {
		return 0
	}
	return max(1, int(c.shareOfPlaces()+rounding))
}

// shareOfPlaces returns the share of the places of the service, before it is rounded.
func (c *Coordinator) shareOfPlaces() float64 { return c.share * float64(c.allPlaces()) }

// allPlaces returns the number of places of all replicas, whatever the share of this coordinator is.
func (c *Coordinator) allPlaces() int {
	n := 0
	for _, r := range c.replicas {
		n += c.placesAt(r)
	}
	return n
}

// pauseAfter returns how long no permit is granted after a request, so that a daemon with less than
// one place uses one for its share of the time.
func (c *Coordinator) pauseAfter(took time.Duration) time.Duration {
	places := c.shareOfPlaces()
	if places <= 0 || places >= 1 {
		return 0
	}
	return min(maxPause, time.Duration(float64(took)*(1/places-1)))
}

// occupied returns the number of places that are occupied. Requests beyond the places of a replica,
// which wait in its queue, occupy no place of another one.
func (c *Coordinator) occupied() int {
	n := c.unknown
	for _, r := range c.replicas {
		n += min(r.requests(), c.placesAt(r))
	}
	return n
}

// throughput returns the number of requests that the service completes in a second if all places
// are occupied.
func (c *Coordinator) throughput(now time.Time) float64 {
	usual, overhead := c.speed.usual(), c.speed.overhead()
	perSecond := 0.0
	for _, r := range c.replicas {
		places := c.placesAt(r)
		if r.failures > 0 {
			places = 1
		}
		perSecond += float64(places) / max(time.Millisecond, r.speed.present(usual, now)+overhead).Seconds()
	}
	granted := float64(c.places())
	if pause := c.pauseAfter(usual); pause > 0 {
		granted = usual.Seconds() / (usual + pause).Seconds()
	}
	return perSecond * granted / float64(max(1, c.allPlaces()))
}
