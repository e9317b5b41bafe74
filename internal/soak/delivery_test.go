package soak

import (
	"testing"
	"time"
)

// TestDeliveriesTellWhatADaemonRead guards against a backoff that is excused although the daemon read it,
// and against one that is judged although it can't have.
func TestDeliveriesTellWhatADaemonRead(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(d *deliveries, c *delivery)
		want bool
	}{
		{"delivered, the connection stays open", func(d *deliveries, c *delivery) { d.recordDelivery(c, at(100.01)) }, true},
		{"delivered, the connection is closed later", func(d *deliveries, c *delivery) {
			d.recordDelivery(c, at(100.01))
			d.recordClose(c, at(100.2))
		}, true},
		{"delivered as the daemon closed the connection", func(d *deliveries, c *delivery) {
			d.recordDelivery(c, at(100.01))
			d.recordClose(c, at(100.02))
		}, false},
		{"closed before the replica said it", func(d *deliveries, c *delivery) {
			d.recordClose(c, at(99.99))
			d.recordDelivery(c, at(100.01))
		}, false},
		{"never delivered", func(d *deliveries, c *delivery) { d.recordDelivery(c, at(99.9)) }, false},
		{"another connection from the same address since", func(d *deliveries, c *delivery) {
			d.recordDelivery(c, at(100.01))
			d.open("a", "", at(101))
		}, true},
	} {
		d := &deliveries{}
		conn := d.open("a", "", at(99))
		c.play(d, conn)
		if got, what := d.read("a", at(100)); got != c.want {
			t.Errorf("%s: read %t (%s), want %t", c.name, got, what, c.want)
		}
	}
	if read, _ := (&deliveries{}).read("b", time.Time{}); !read {
		t.Error("a response on a connection that is not known is excused")
	}
}
