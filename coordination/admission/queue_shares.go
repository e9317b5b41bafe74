// The shares of granted asks by which the queue orders its urgency classes, by rule 2 of queue.go.

package admission

import "math"

// windowCount counts events of the last shareWindow.
type windowCount struct {
	sum   int
	slots [shareSlots]int
}

func (n *windowCount) add(slot int64) {
	n.sum++
	n.slots[slot%shareSlots]++
}

// advance drops the slots that the window leaves as it moves.
func (n *windowCount) advance(from, to int64) {
	for slot := max(from+1, to-shareSlots+1); slot <= to; slot++ {
		n.sum -= n.slots[slot%shareSlots]
		n.slots[slot%shareSlots] = 0
	}
}

// shares are what was asked, granted and waits in the classes that are more urgent than one.
type shares struct {
	waiting int
	// asked and granted are those of the class with the largest share.
	asked, granted int
}

func (s *shares) add(c *class) {
	s.waiting += c.waiting
	if s.asked == 0 || c.granted.sum*s.asked > s.granted*c.asked.sum {
		s.asked, s.granted = c.asked.sum, c.granted.sum
	}
}

// owedFor returns how many permits a class must get for n permits of the more urgent ones.
func (s *shares) owedFor(c *class, n float64) float64 {
	if s.asked == 0 {
		return 0
	}
	return floorShare * n * float64(c.asked.sum) / float64(s.asked)
}

// owed returns by how many permits a class is below the floor.
func (s *shares) owed(c *class) float64 {
	return s.owedFor(c, float64(s.granted)) - float64(c.granted.sum)
}

// before returns how many asks of the more urgent classes get a permit before the ask of a class
// that has position n in it.
func (s *shares) before(c *class, n int) int {
	perPermit := s.owedFor(c, 1)
	if s.waiting == 0 || perPermit == 0 {
		return s.waiting
	}
	missing := float64(n) - s.owed(c) // it is next as soon as this is negative
	if missing < 0 {
		return 0
	}
	return int(min(float64(s.waiting), math.Floor(missing/perPermit)+1))
}
